package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// kinds are the kinds of runners; a quarter is of the second one.
var kinds = [2]string{"a", "b"}

// bed is one deployment with its clients.
type bed struct {
	dir     string
	store   *kvStore
	ledger  *ledger
	hosts   []*host
	runners []*runner
	client  *client
	queue   *queue
	trouble bool
}

// scenarios are the plays by name.
var scenarios = map[string]func(*bed) error{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed SCENARIO RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a scenario, writes its record and returns the exit code.
func play(name, record string) int {
	dir, err := os.MkdirTemp("", "bed")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	b := &bed{dir: dir, store: newStore(), ledger: newLedger(), trouble: os.Getenv("TROUBLE") != "0"}
	defer b.stop()
	err = scenarios[name](b)
	head := []string{fmt.Sprintf("scenario %s, disruption: %t", name, b.trouble)}
	code := exitHeld
	switch {
	case err != nil:
		head = append(head, "not run: "+err.Error())
		code = exitNotRun
	case len(b.ledger.breaks) > 0:
		code = exitBroken
	}
	b.ledger.write(record, head)
	return code
}

// up starts n hosts and m runners of the given capacity, and waits until all hosts are ready.
func (b *bed) up(n, m, capacity int) error {
	b.queue = &queue{"audit", "/audit/"}
	b.store.put("op/config", map[string]any{
		"version": 1, "limits": map[string]any{},
		"services": []map[string]any{{"name": serviceName, "rejectsOverload": true}},
		"routes": []map[string]any{{"name": b.queue.name, "host": queueHost, "prefix": b.queue.prefix, "service": serviceName, "priority": 0,
			"maxAttempts": 3, "stretchFactor": 2.0, "targetLatencyMs": 1000}},
	}, false)
	zones := []string{"a", "b", "c"}
	for i := range m {
		r := &runner{id: fmt.Sprintf("i-%04x", 0x1a00+i), addr: "127.0.0.1:0", zone: zones[i%3], rack: fmt.Sprintf("r%d", i/4), kind: kinds[0], capacity: capacity, memory: 64000,
			store: b.store, ledger: b.ledger}
		if i%4 == 1 {
			r.kind = kinds[1]
		}
		r.start()
		b.runners = append(b.runners, r)
	}
	b.client = &client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50}}, ledger: b.ledger}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		go func() { _ = http.Serve(l, b.store.handler(i)) }()
		h, err := newHost(b.dir, i, zones[i%3], l.Addr().String())
		if err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		b.hosts = append(b.hosts, h)
		b.client.addrs = append(b.client.addrs, h.caller)
	}
	for end := time.Now().Add(startTime); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range b.hosts {
			if h.isReady() {
				ready++
			}
		}
		if ready == n {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d hosts are ready; logs in %s", ready, n, b.dir)
		}
	}
	b.ledger.note("hosts are ready; logs in %s", filepath.Base(b.dir))
	return nil
}

// stop ends all processes.
func (b *bed) stop() {
	for _, h := range b.hosts {
		h.kill()
	}
}

// holder returns the host that holds, by the store, or nil.
func (b *bed) holder() *host {
	var h struct {
		Name string `json:"name"`
	}
	_ = json.Unmarshal(b.store.get("lead/holder"), &h)
	for _, x := range b.hosts {
		if x.name == h.Name {
			return x
		}
	}
	return nil
}
