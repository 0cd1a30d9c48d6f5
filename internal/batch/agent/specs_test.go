package agent

import (
	"fmt"
	"testing"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Guards against a start with another specification than its own, or with none, and against one that is sent with each start.
func TestSpecsSentOnce(t *testing.T) {
	const jobs, rounds = 3*maxSpecs + 10, 4
	s, r := specSender{kept: maxSpecs}, specReceiver{}
	full := 0
	for round := range rounds {
		for i := range jobs {
			job := i
			if round%2 == 1 {
				job = i % 7 // a few jobs with many tasks
			}
			want := sched.Order{Verb: sched.VerbStart, Run: int64(i), Spec: fmt.Sprint("spec of ", job)}
			given := want
			sent := s.replace(Call{Order: &given})
			if sent.Order.Spec != "" {
				full++
			}
			if given != want {
				t.Fatalf("the caller's order became %+v", given)
			}
			got, err := r.restore(sent)
			if err != nil || *got != want {
				t.Fatalf("%+v, %v, want %+v", got, err, want)
			}
		}
	}
	if most := 2*jobs + 2*7; full > most {
		t.Errorf("%d of %d starts with a specification, want %d at most", full, rounds*jobs, most)
	}
	if len(r.specs) > maxSpecs || len(s.numbers) > maxSpecs {
		t.Errorf("%d specifications kept by the agent, %d by the holder", len(r.specs), len(s.numbers))
	}
	if _, err := (&specReceiver{}).restore(Call{Order: &sched.Order{Verb: sched.VerbStart}, SpecNumber: 1}); err == nil {
		t.Error("no error of a start whose specification isn't known")
	}
}

// Guards against starts without a specification at an agent of an older build, which doesn't keep any.
func TestSpecsToOlderBuild(t *testing.T) {
	var s specSender
	for range 2 {
		o := sched.Order{Verb: sched.VerbStart, Spec: "x"}
		if c := s.replace(Call{Order: &o}); c.Order.Spec != "x" || c.SpecNumber != 0 {
			t.Errorf("sent %+v of %+v", c, o)
		}
	}
}
