package trace_test

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/model/trace"
)

// A day's faults of a kind change with what else is chosen, and runs with different flags can't be compared.
func TestFaultsIndependentOfOtherKinds(t *testing.T) {
	d := trace.Association()
	all := d.GenerateFaults(trace.FaultKinds(), 3)
	for _, kind := range trace.FaultKinds() {
		t.Run(string(kind), func(t *testing.T) {
			var want []trace.Fault
			for _, f := range all {
				if f.Kind == kind {
					want = append(want, f)
				}
			}
			got := d.GenerateFaults([]trace.FaultKind{kind}, 3)
			if len(got) == 0 || !reflect.DeepEqual(got, want) {
				t.Errorf("%v alone, %v among all", got, want)
			}
		})
	}
	if got := d.GenerateFaults(nil, 3); len(got) != 0 {
		t.Errorf("%d faults though no kind was asked for", len(got))
	}
}

func TestBurstOnlyAddsJobs(t *testing.T) {
	d := trace.Association()
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	burst := trace.Fault{Kind: trace.FaultBurst, JobKind: 1, Start: 10 * time.Second, Duration: 5 * time.Second, Factor: 3}
	plain, more := d.GenerateJobs(start, 1, 4, nil), d.GenerateJobs(start, 1, 4, []trace.Fault{burst})
	ids := map[string]*trace.Job{}
	for _, j := range more {
		if ids[j.Spec.ID] != nil {
			t.Errorf("two jobs %s", j.Spec.ID)
		}
		ids[j.Spec.ID] = j
	}
	for _, j := range plain {
		if !reflect.DeepEqual(ids[j.Spec.ID], j) {
			t.Errorf("job %s has changed", j.Spec.ID)
		}
		delete(ids, j.Spec.ID)
	}
	if len(ids) == 0 {
		t.Error("the burst has no jobs")
	}
	for id, j := range ids {
		if !burst.Active(j.SubmittedAt) || j.Kind != &d.JobKinds[1] {
			t.Errorf("job %s of %s at %s is not of the burst", id, j.Kind.Name, j.SubmittedAt)
		}
	}
}

func TestFaultsWithinScenario(t *testing.T) {
	for name, day := range trace.Scenarios {
		d := day()
		for _, f := range d.GenerateFaults(trace.FaultKinds(), 1) {
			if f.Start >= d.Duration || f.Duration <= 0 || f.Worker >= d.WorkerCount || d.JobKinds[f.JobKind].LongRunning || !slices.Contains(trace.FaultKinds(), f.Kind) {
				t.Errorf("%s: %+v", name, f)
			}
		}
	}
}
