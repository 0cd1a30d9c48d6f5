package trace_test

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/model/trace"
)

// If the faults of a kind changed with the other kinds that are requested, simulations with different
// fault flags couldn't be compared.
func TestFaultsIndependentOfOtherKinds(t *testing.T) {
	s := trace.Association()
	all := s.GenerateFaults(trace.FaultKinds(), 3)
	for _, kind := range trace.FaultKinds() {
		t.Run(string(kind), func(t *testing.T) {
			var want []trace.Fault
			for _, f := range all {
				if f.Kind == kind {
					want = append(want, f)
				}
			}
			got := s.GenerateFaults([]trace.FaultKind{kind}, 3)
			if len(got) == 0 || !reflect.DeepEqual(got, want) {
				t.Errorf("%v if requested alone, %v if requested with all kinds", got, want)
			}
		})
	}
	if got := s.GenerateFaults(nil, 3); len(got) != 0 {
		t.Errorf("%d faults though no kind was requested", len(got))
	}
}

// A burst adds jobs of its kind while it is active and changes no other job.
func TestBurstOnlyAddsJobs(t *testing.T) {
	s := trace.Association()
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	burst := trace.Fault{Kind: trace.FaultBurst, JobKind: 1, Start: 10 * time.Second, Duration: 5 * time.Second, Factor: 3}
	without, with := s.GenerateJobs(start, 1, 4, nil), s.GenerateJobs(start, 1, 4, []trace.Fault{burst})
	added := map[string]*trace.Job{}
	for _, j := range with {
		if added[j.Spec.ID] != nil {
			t.Errorf("two jobs with id %s", j.Spec.ID)
		}
		added[j.Spec.ID] = j
	}
	for _, j := range without {
		if !reflect.DeepEqual(added[j.Spec.ID], j) {
			t.Errorf("job %s differs from the one without the burst", j.Spec.ID)
		}
		delete(added, j.Spec.ID)
	}
	if len(added) == 0 {
		t.Error("the burst added no jobs")
	}
	for id, j := range added {
		if !burst.Active(j.SubmittedAt) || j.Kind != &s.JobKinds[1] {
			t.Errorf("job %s of kind %s submitted at %s is not part of the burst", id, j.Kind.Name, j.SubmittedAt)
		}
	}
}

func TestFaultsWithinScenario(t *testing.T) {
	for name, newScenario := range trace.Scenarios {
		s := newScenario()
		for _, f := range s.GenerateFaults(trace.FaultKinds(), 1) {
			if f.Start >= s.Duration || f.Duration <= 0 || f.Worker >= s.WorkerCount || s.JobKinds[f.JobKind].LongRunning || !slices.Contains(trace.FaultKinds(), f.Kind) {
				t.Errorf("scenario %s: fault out of range: %+v", name, f)
			}
		}
	}
}
