package jobs

import (
	"fmt"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

// newBenchCore returns the Core of a bucket with n jobs of 10 tasks, half of them placed.
func newBenchCore(b *testing.B, n int) *Core {
	now := time.Unix(1000, 0)
	c := New(Bucket{}, 1)
	for i := range n {
		s := Spec{ID: fmt.Sprintf("provenance-audit-%06d", i), Kind: "audit", Team: "provenance", N: 10,
			Size: wire.Size{CPU: 1000, Mem: 1000}, Run: time.Minute}
		if err := c.Submit(now, s); err != nil {
			b.Fatal(err)
		}
	}
	commitBench(b, c)
	free := make([]wire.Size, 0, 5*n)
	for range 5 * n {
		free = append(free, wire.Size{CPU: 1000, Mem: 1000})
	}
	c.HandleReport(now, RackReport{Rack: "rack-1", Ep: 1, Usable: true, Offer: Offer{Free: free}}, func(string) bool { return true })
	commitBench(b, c)
	return c
}

// commitBench makes one successful write and returns the size of the record in bytes.
func commitBench(b *testing.B, c *Core) int {
	value, err := c.BeginWrite("id")
	if err != nil {
		b.Fatal(err)
	}
	c.EndWrite(true)
	return len(value)
}

// BenchmarkCommit measures encoding the record for a write: the time, and the bytes per job of 10 tasks.
func BenchmarkCommit(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newBenchCore(b, n)
			size := 0
			for b.Loop() {
				size = commitBench(b, c)
			}
			b.ReportMetric(float64(size)/float64(n), "B/job")
		})
	}
}

// BenchmarkHear measures replying to an empty report of a rack.
func BenchmarkHear(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newBenchCore(b, n)
			now := time.Unix(1000, 0)
			for b.Loop() {
				c.HandleReport(now, RackReport{Rack: "rack-2", Ep: 1, Usable: true}, func(string) bool { return true })
			}
		})
	}
}
