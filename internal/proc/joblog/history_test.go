package joblog_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"

	"bramleysail.example/bramleysail/internal/proc/joblog"
)

// firstHostLog is the log of the first of two hosts. The job "book" has two steps: one task fails and is started again,
// another is throttled and moved, the second step is unplaced for a while, and the holder changes meanwhile.
const firstHostLog = `time=2030-01-01T10:00:00.000Z level=INFO msg=holder host=a term=1
time=2030-01-01T10:00:01.000Z level=INFO msg=accepted host=a term=1 job=book queue=q tasks=3 took=7ms
time=2030-01-01T10:00:01.010Z level=INFO msg=order host=a term=1 verb=start task=book.0.0.0 run=1000001 worker=w1 pace=0 outcome=done took=4ms
time=2030-01-01T10:00:01.010Z level=INFO msg=order host=a term=1 verb=start task=book.0.0.1 run=1000001 worker=w2 pace=0 outcome=done took=4ms
time=2030-01-01T10:00:02.000Z level=INFO msg=end host=a term=1 task=book.0.0.0 run=1000001 how=failed worker=w1 seq=3
time=2030-01-01T10:00:02.010Z level=INFO msg=order host=a term=1 verb=start task=book.0.0.0 run=1000002 worker=w3 pace=0 outcome=done took=4ms
time=2030-01-01T10:00:02.500Z level=INFO msg=order host=a term=1 verb=pace task=book.0.0.1 run=1000001 worker=w2 pace=0 outcome=done took=4ms
time=2030-01-01T10:00:03.000Z level=INFO msg=order host=a term=1 verb=stop task=book.0.0.1 run=1000001 worker=w2 pace=0 outcome=done took=4ms
time=2030-01-01T10:00:03.000Z level=INFO msg=end host=a term=1 task=other.0.0.0 run=1000001 how=done worker=w2 seq=4
no line of ours
time=2030-01-01T10:00:03.200Z level=INFO msg=end host=a term=1 task=book.0.0.1 run=1000001 how=stopped worker=w2 seq=5
`

// secondHostLog continues the log on the second host, whose log collector puts a prefix before each line.
const secondHostLog = `12.5 b time=2030-01-01T10:00:04.000Z level=INFO msg="took over" host=b term=2 jobs=2 workers=3 took=60ms
12.6 b time=2030-01-01T10:00:04.100Z level=INFO msg=order host=b term=2 verb=start task=book.0.0.1 run=2000001 worker=w3 pace=0 outcome=done took=4ms
12.7 b time=2030-01-01T10:00:04.200Z level=INFO msg=answer host=b verb=state path=/q/book result=refused why="holder doesn't answer" version=3 took=890ms
12.8 b time=2030-01-01T10:00:05.000Z level=INFO msg=end host=b term=2 task=book.0.0.0 run=1000002 how=done worker=w3 seq=7
12.9 b time=2030-01-01T10:00:05.500Z level=INFO msg=end host=b term=2 task=book.0.0.1 run=2000001 how=done worker=w3 seq=8
13.0 b time=2030-01-01T10:00:06.500Z level=INFO msg=waits host=b term=2 job=book step=1 tasks=1 since=1s workers=3 closed=1 shut=0 full=1 harm=1
13.1 b time=2030-01-01T10:00:07.500Z level=INFO msg=order host=b term=2 verb=start task=book.0.1.0 run=2000001 worker=w1 pace=0 outcome=done took=4ms
13.2 b time=2030-01-01T10:00:08.500Z level=INFO msg=end host=b term=2 task=book.0.1.0 run=2000001 how=done worker=w1 seq=9
13.3 b time=2030-01-01T10:00:18.500Z level=INFO msg="no longer the holder" host=b term=2 cause=stopped
`

func readLines(t *testing.T) []joblog.Line {
	t.Helper()
	var all []joblog.Line
	for _, log := range []string{secondHostLog, firstHostLog} {
		got, _, err := joblog.ReadLines(strings.NewReader(log))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, got...)
	}
	return all
}

func TestText(t *testing.T) {
	h, err := joblog.NewHistory("book", readLines(t))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := h.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "book", out.Bytes())
}

func TestJSON(t *testing.T) {
	h, err := joblog.NewHistory("book", readLines(t))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := h.WriteJSON(&out); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "book.json", out.Bytes())
}

func TestJobNotFound(t *testing.T) {
	if _, err := joblog.NewHistory("boo", readLines(t)); !errors.Is(err, joblog.ErrJobNotFound) {
		t.Errorf("error %v, want ErrJobNotFound", err)
	}
}

func TestReadLinesCountsUnreadable(t *testing.T) {
	got, unreadable, err := joblog.ReadLines(strings.NewReader(firstHostLog))
	if err != nil || unreadable != 1 || len(got) != 10 {
		t.Errorf("read %d lines, %d unreadable, error %v; want 10, 1, no error", len(got), unreadable, err)
	}
}
