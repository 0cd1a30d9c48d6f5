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

// TestRun checks that every guarantee holds under the faults of the demo, that each hop of a
// check-in is traced, and that no goroutine is left.
func TestRun(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"))
	spans := tracetest.NewSpanRecorder()
	otel.SetTracerProvider(trace.NewTracerProvider(trace.WithSpanProcessor(spans)))
	var out bytes.Buffer
	violations, err := Run(context.Background(), &out)
	if err != nil || len(violations) > 0 {
		t.Errorf("error %v, violations: %v\n%s", err, violations, out.String())
	}
	checkSpans(t, spans.Ended())
}

// TestRunHosts checks that every guarantee holds under the faults of the demo of entry hosts
// that elect a holder.
func TestRunHosts(t *testing.T) {
	var out bytes.Buffer
	violations, err := RunHosts(context.Background(), &out)
	if err != nil || len(violations) > 0 {
		t.Errorf("error %v, violations: %v\n%s", err, violations, out.String())
	}
}

// checkSpans checks that each hop of a check-in is a child span of the entry's span.
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
			t.Errorf("no child span %s of entry.request, only %v", hop, found)
		}
	}
}
