package entry

import (
	"time"

	tally "github.com/uber-go/tally/v4"
)

type meterKey struct {
	service string
	code    Code
}

// meter counts the answers of one service with one code.
type meter struct {
	count tally.Counter
	took  tally.Histogram
}

var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

func (e *Entry) meter(service string, code Code) *meter {
	k := meterKey{service, code}
	if m, ok := e.meters.Load(k); ok {
		return m.(*meter)
	}
	s := e.o.Scope.Tagged(map[string]string{"service": service, "code": string(code)})
	m, _ := e.meters.LoadOrStore(k, &meter{s.Counter("requests"), s.Histogram("request_seconds", buckets)})
	return m.(*meter)
}

func (m *meter) add(took time.Duration) {
	m.count.Inc(1)
	m.took.RecordDuration(took)
}
