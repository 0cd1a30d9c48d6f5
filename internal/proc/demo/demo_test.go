package demo

import (
	"bytes"
	"context"
	"testing"

	"go.uber.org/goleak"
)

// The demo goes through its faults, keeps every promise, and leaves nothing running.
func TestDemo(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"))
	var out bytes.Buffer
	broken, err := Run(context.Background(), &out)
	if err != nil || len(broken) > 0 {
		t.Errorf("%v, broken: %v\n%s", err, broken, out.String())
	}
}
