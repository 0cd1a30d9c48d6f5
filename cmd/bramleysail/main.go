// Command bramleysail schedules latency-critical services and batch work on shared hosts.
package main

import (
	"context"
	"os"

	"bramleysail.example/bramleysail/internal/proc/tool"
)

func main() {
	os.Exit(tool.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
