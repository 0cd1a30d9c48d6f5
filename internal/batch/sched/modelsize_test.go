package sched

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/interf"
)

// Guards against a learned model that no store takes: the names of images are as long as a job may have them, and the jobs are many.
func TestModelSize(t *testing.T) {
	for _, tt := range []struct {
		name              string
		nameLength        int
		critical, filling int // images
		jobs              int // latency-critical ones
	}{
		{"few", 100, 10, 18, 100},
		{"a new digest for each build", 105, 24, 150, 24},
		{"longest names", maxLabelBytes, 64, 80, 64},
		{"many jobs", 100, 10, 10, 5000},
	} {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
			c := New(Options{Term: 1}, start)
			image := func(kind string, i int) string {
				name := fmt.Sprintf("%s-%d-", kind, i)
				return name + strings.Repeat("<", tt.nameLength-len(name)) // each is six bytes in JSON
			}
			for i := range tt.jobs {
				c.AddJob(start, &Job{ID: fmt.Sprintf("%016d", i), Queue: "q", Service: "s", AcceptedAt: start, Steps: []Step{{Count: 1, LongRunning: true, Image: image("feed", i%tt.critical), TailTarget: time.Second}}})
			}
			for i := range tt.filling {
				for k := range max(tt.critical, tt.jobs/tt.filling+1) {
					j := c.jobs[fmt.Sprintf("%016d", (i*(tt.jobs/tt.filling+1)+k)%tt.jobs)]
					s := j.occurrences[0].steps[0]
					var usage interf.CPUUsage
					usage.Add(image("book", i), 0.2)
					for n := range 3 {
						c.interference.Observe(float64(10*i+n), c.loadOf(s), s.spec.Image, 400*time.Millisecond, time.Second, usage)
					}
				}
			}
			data, err := c.EncodeModel()
			if err != nil || len(data) > maxModelSize || len(data) < maxModelSize/20 {
				t.Errorf("%d bytes, error %v; want %d at most, and not much less", len(data), err, maxModelSize)
			}
			next := New(Options{Term: 2}, start)
			if err := next.RestoreModel(data); err != nil {
				t.Error(err)
			}
		})
	}
}
