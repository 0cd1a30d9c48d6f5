package entry

import (
	"time"

	tally "github.com/uber-go/tally/v4"
)

// answerMetricsKey identifies an answerMetrics.
type answerMetricsKey struct {
	service string
	code    Code
}

// answerMetrics holds the metrics of one service's answers with one code.
type answerMetrics struct {
	count   tally.Counter   // number of answers
	latency tally.Histogram // time from the request's arrival to its answer
}

// latencyBuckets are the bounds of the latency histogram: 16 buckets from 1 ms on, each twice the one before.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// metricsFor returns the metrics of a service and code, which it makes at first use.
func (e *Entry) metricsFor(service string, code Code) *answerMetrics {
	k := answerMetricsKey{service, code}
	if m, ok := e.metrics.Load(k); ok {
		return m.(*answerMetrics)
	}
	s := e.opts.Scope.Tagged(map[string]string{"service": service, "code": string(code)})
	m, _ := e.metrics.LoadOrStore(k, &answerMetrics{s.Counter("requests"), s.Histogram("request_seconds", latencyBuckets)})
	return m.(*answerMetrics)
}

// record counts one answer.
func (m *answerMetrics) record(latency time.Duration) {
	m.count.Inc(1)
	m.latency.RecordDuration(latency)
}
