// Command bramleysail schedules latency-critical services and batch work on shared hosts.
package main

import (
	"context"
	"os"

	"bramleysail.example/bramleysail/internal/proc/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
