package report_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"

	"bramleysail.example/bramleysail/internal/proc/joblog"
	"bramleysail.example/bramleysail/internal/proc/report"
)

// dayLog is about four jobs: "print" is on time; "book" is refused, is unplaced for a while, fails once, and is late
// because the holder changes; "feed" is long-running; "lost" is refused and never accepted.
const dayLog = `time=2030-01-01T10:00:00.000Z level=INFO msg="took over" host=a term=1 jobs=0 workers=3 took=60ms
time=2030-01-01T10:00:01.000Z level=INFO msg=answer host=a verb=submit path=/q/book result=refused why="store away" version=1 took=2ms
time=2030-01-01T10:00:01.000Z level=INFO msg=accepted host=a term=1 job=print queue=prints tasks=1 took=10ms
time=2030-01-01T10:00:01.010Z level=INFO msg=placed host=a term=1 job=print queue=prints round=0 step=0 tasks=1 lasting=false waited=10ms lacked=0s expect=1s
time=2030-01-01T10:00:01.030Z level=INFO msg=order host=a term=1 verb=start task=print.0.0.0 run=1000001 worker=w1 pace=0 outcome=done took=20ms
time=2030-01-01T10:00:02.000Z level=INFO msg=accepted host=a term=1 job=book queue=books tasks=2 took=20ms
time=2030-01-01T10:00:02.030Z level=INFO msg=end host=a term=1 task=print.0.0.0 run=1000001 how=done worker=w1 seq=1
time=2030-01-01T10:00:02.040Z level=INFO msg=finished host=a term=1 job=print queue=prints state=completed took=1.04s aim=2s
time=2030-01-01T10:00:03.100Z level=INFO msg=waits host=a term=1 job=book step=0 tasks=2 since=1.1s workers=3 closed=1 shut=0 full=0 harm=2
time=2030-01-01T10:00:03.500Z level=INFO msg=placed host=a term=1 job=book queue=books round=0 step=0 tasks=2 lasting=false waited=1.5s lacked=1.4s expect=1s
time=2030-01-01T10:00:03.520Z level=INFO msg=order host=a term=1 verb=start task=book.0.0.0 run=1000001 worker=w1 pace=0 outcome=done took=20ms
time=2030-01-01T10:00:03.520Z level=INFO msg=order host=a term=1 verb=start task=book.0.0.1 run=1000001 worker=w2 pace=0 outcome=done took=20ms
time=2030-01-01T10:00:04.000Z level=INFO msg=end host=a term=1 task=book.0.0.1 run=1000001 how=failed worker=w2 seq=1
time=2030-01-01T10:00:04.520Z level=INFO msg=end host=a term=1 task=book.0.0.0 run=1000001 how=done worker=w1 seq=2
time=2030-01-01T10:00:06.000Z level=INFO msg="took over" host=b term=2 jobs=1 workers=3 took=60ms
time=2030-01-01T10:00:06.120Z level=INFO msg=order host=b term=2 verb=start task=book.0.0.1 run=2000001 worker=w3 pace=0 outcome=done took=20ms
time=2030-01-01T10:00:06.200Z level=INFO msg=placed host=b term=2 job=feed queue=feeds round=0 step=0 tasks=1 lasting=true waited=1s lacked=0s expect=1s
time=2030-01-01T10:00:07.000Z level=INFO msg=answer host=b verb=submit path=/q/lost result=refused why="store away" version=1 took=2ms
time=2030-01-01T10:00:07.000Z level=INFO msg=answer host=b verb=state path=/q/book result=refused why="no holder" version=1 took=2ms
time=2030-01-01T10:00:08.120Z level=INFO msg=end host=b term=2 task=book.0.0.1 run=2000001 how=done worker=w3 seq=1
time=2030-01-01T10:00:08.130Z level=INFO msg=finished host=b term=2 job=book queue=books state=completed took=6.1s aim=3s
`

func readLines(t *testing.T, log string) []joblog.Line {
	t.Helper()
	got, bad, err := joblog.ReadLines(strings.NewReader(log))
	if err != nil || bad > 0 {
		t.Fatal(bad, err)
	}
	return got
}

func TestReport(t *testing.T) {
	r, err := report.New(readLines(t, dayLog), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	for name, write := range map[string]func(*bytes.Buffer) error{
		"day":      func(b *bytes.Buffer) error { return r.WriteText(b) },
		"day.json": func(b *bytes.Buffer) error { return r.WriteJSON(b) },
		"day.svg":  func(b *bytes.Buffer) error { return r.WritePlot(b) },
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			if err := write(&out); err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, name, out.Bytes())
		})
	}
}

func TestSpan(t *testing.T) {
	for _, tt := range []struct {
		name     string
		log      string
		from, to time.Duration
		jobs     int
		err      error
	}{
		{"whole log", dayLog, 0, 0, 4, nil},
		{"first seconds", dayLog, 0, 5 * time.Second, 2, nil},
		{"last seconds", dayLog, 6 * time.Second, 0, 2, nil},
		{"empty span", dayLog, 3 * time.Second, 4 * time.Second, 0, report.ErrNoData},
		{"span begins after the last line", dayLog, time.Hour, 0, 0, report.ErrNoData},
		{"span ends before it begins", dayLog, 5 * time.Second, time.Second, 0, report.ErrNoData},
		{"no lines", "", 0, 0, 0, report.ErrNoData},
		{"no line about a job", "time=2030-01-01T10:00:00.000Z level=INFO msg=start host=a\n", 0, 0, 0, report.ErrNoData},
		{"invalid task id", "time=2030-01-01T10:00:00.000Z msg=end task=a.b run=1\n", 0, 0, 0, report.ErrNoData},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, err := report.New(readLines(t, tt.log), tt.from, tt.to)
			if !errors.Is(err, tt.err) {
				t.Fatalf("error %v, want %v", err, tt.err)
			}
			if err != nil {
				return
			}
			n := 0
			for _, q := range r.Queues {
				n += q.Jobs
			}
			if n != tt.jobs {
				t.Errorf("%d jobs, want %d", n, tt.jobs)
			}
		})
	}
}

// A plot of less than two seconds is refused: it has no two points to connect by a line.
func TestPlotOfOneSecond(t *testing.T) {
	const short = "time=2030-01-01T10:00:00.500Z msg=accepted host=a term=1 job=print queue=prints tasks=1 took=10ms\n"
	r, err := report.New(readLines(t, short), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.WritePlot(&bytes.Buffer{}); !errors.Is(err, report.ErrNoData) {
		t.Errorf("error %v, want ErrNoData", err)
	}
}
