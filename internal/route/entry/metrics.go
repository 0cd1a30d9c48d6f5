package entry

import (
	"time"

	tally "github.com/uber-go/tally/v4"
)

type answerMetricsKey struct {
	service string
	code    Code
}

// answerMetrics counts the answers of one service with one code.
type answerMetrics struct {
	count   tally.Counter
	latency tally.Histogram
}

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

func (e *Entry) metricsFor(service string, code Code) *answerMetrics {
	k := answerMetricsKey{service, code}
	if m, ok := e.metrics.Load(k); ok {
		return m.(*answerMetrics)
	}
	s := e.opts.Scope.Tagged(map[string]string{"service": service, "code": string(code)})
	m, _ := e.metrics.LoadOrStore(k, &answerMetrics{s.Counter("requests"), s.Histogram("request_seconds", latencyBuckets)})
	return m.(*answerMetrics)
}

func (m *answerMetrics) record(took time.Duration) {
	m.count.Inc(1)
	m.latency.RecordDuration(took)
}
