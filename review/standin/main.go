// Command standin plays a case of the review: it starts hosts of the project as processes of their own, with stand-ins for
// the platform, its runners and callers, and checks a rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // it was broken
	exitFailed = 2 // the case couldn't run
)

// cases are the cases by name. Each plays with or without its trouble and returns how the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (broken []string, err error){}

func main() {
	runtime.LockOSThread() // hosts end with the thread that has started them
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitFailed)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		os.Exit(exitFailed)
	}()
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case, writes the record into a folder and returns the exit code.
func play(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", name, trouble)
	broken, err := cases[name](rec, trouble)
	if err != nil {
		rec.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, b := range broken {
		rec.add("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
