package link

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// benchReport has the size of a worker's report with a running task and the end of another.
type benchReport struct {
	Worker    string
	StartedAt int64
	Clock     time.Duration
	Running   []benchRun
	Finished  []benchRun
}

// benchRun is a run in a benchReport.
type benchRun struct {
	Seq        int64
	Task       string
	Run        int64
	End        string
	Checkpoint string
	Progress   int
	CPUUsage   float64
}

// benchPoll has the size of a poll request.
type benchPoll struct {
	Worker, Addr     string
	StartedAt, Acked int64
	Lease, Wait      time.Duration
	AnswerSlack      time.Duration
}

// benchPeer is the implementation of a net/rpc service for benchmarks.
type benchPeer struct{}

// Poll answers each poll with a report.
func (benchPeer) Poll(in []benchPoll, out *[]benchReport) error {
	for _, p := range in {
		*out = append(*out, benchReport{
			Worker: p.Worker, StartedAt: 1700000000000, Clock: time.Hour,
			Running:  []benchRun{{Task: "214153a38cc82260.0.1.0", Run: 1000002, Progress: 50, CPUUsage: 812.5}},
			Finished: []benchRun{{Seq: 17, Task: "214153a38cc82260.0.1.1", Run: 1000001, End: "done"}},
		})
	}
	return nil
}

// BenchmarkCallItems measures calls that carry some polls of workers and their reports. It reports CPU time and elapsed
// time of both sides together, for each item.
func BenchmarkCallItems(b *testing.B) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv, err := NewServer("Bench", benchPeer{})
	if err != nil {
		b.Fatal(err)
	}
	go srv.Serve(lis)
	defer srv.Close()
	l := New(lis.Addr().String(), nil)
	defer l.Close()
	for _, items := range []int{1, 10, 50} {
		var polls []benchPoll
		for i := range items {
			polls = append(polls, benchPoll{Worker: fmt.Sprintf("i-%010x", i), Addr: "10.0.0.1:7070", StartedAt: 1700000000000, Acked: 16, Lease: time.Hour, Wait: time.Second})
		}
		b.Run(fmt.Sprint(items), func(b *testing.B) {
			b.ReportAllocs()
			used := cpuTime(b)
			for b.Loop() {
				if out, err := Call[[]benchPoll, []benchReport](context.Background(), l, "Bench.Poll", polls); err != nil || len(out) != items {
					b.Fatal(len(out), err)
				}
			}
			b.ReportMetric(float64((cpuTime(b)-used).Nanoseconds())/float64(b.N*items), "cpu-ns/item")
		})
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
