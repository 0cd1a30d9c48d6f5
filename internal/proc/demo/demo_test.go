package demo

import (
	"bytes"
	"context"
	"testing"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.uber.org/goleak"
)

// The demo goes through its faults, keeps every promise, and leaves nothing running.
func TestRun(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"))
	spans := tracetest.NewSpanRecorder()
	otel.SetTracerProvider(trace.NewTracerProvider(trace.WithSpanProcessor(spans)))
	var out bytes.Buffer
	broken, err := Run(context.Background(), &out)
	if err != nil || len(broken) > 0 {
		t.Errorf("%v, broken: %v\n%s", err, broken, out.String())
	}
	checkSpans(t, spans.Ended())
}

// The demo of hosts of which one holds goes through its faults and keeps every promise.
func TestRunHosts(t *testing.T) {
	var out bytes.Buffer
	broken, err := RunHosts(context.Background(), &out)
	if err != nil || len(broken) > 0 {
		t.Errorf("%v, broken: %v\n%s", err, broken, out.String())
	}
}

// checkSpans holds that a check-in's hops are spans of one trace, each below the entry's.
func checkSpans(t *testing.T, ended []trace.ReadOnlySpan) {
	t.Helper()
	roots := map[string]bool{}
	for _, s := range ended {
		if s.Name() == "entry.request" {
			roots[s.SpanContext().SpanID().String()] = true
		}
	}
	found := map[string]int{}
	for _, s := range ended {
		if roots[s.Parent().SpanID().String()] {
			found[s.Name()]++
		}
	}
	for _, hop := range []string{"once.begin", "broker.wait", "relay.send"} {
		if found[hop] == 0 {
			t.Errorf("no span %s below entry.request: %v", hop, found)
		}
	}
}
