package drive_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Guards against one job whose stored record can't be decoded and that keeps every new holder from serving any.
func TestUndecodedJob(t *testing.T) {
	runCluster(t, runsFor(2*time.Second), func(c *testCluster) {
		if r := c.submit("good", newStep(4)); r.Result != drive.ResultDone {
			t.Fatalf("submit: %+v", r)
		}
		records := map[string]string{
			"job/truncated":   `{"id":"truncated","steps":[{"cou`,
			"job/nosteps":     `{}`,
			"job/nosuchtask":  `{"steps":[{"count":1}]}`,
			"run/nosuchtask":  `{"state":"running","tries":{"x":[1]}}`,
			"job/manyrounds":  `{"steps":[{"count":1}]}`,
			"run/manyrounds":  `{"state":"running","done":[["0"],["0"],["0"]]}`,
			"run/onlyrecord":  `{`,
			"job/notaskswell": `{"steps":[{"count":1}]}`,
			"run/notaskswell": `{"state":"running","done":[["z"]]}`,
		}
		for key, value := range records {
			c.store.Put(key, []byte(value))
		}
		c.holder().kill()
		time.Sleep(4 * time.Second)
		c.awaitState(5*time.Second, "good", sched.StateCompleted)
		if r := c.submit("next", newStep(1)); r.Result != drive.ResultDone {
			t.Errorf("submit of another job: %+v, want %s", r, drive.ResultDone)
		}
		for _, id := range []string{"truncated", "nosteps", "nosuchtask", "manyrounds", "onlyrecord", "notaskswell"} {
			if r := c.state(id); r.Result != drive.ResultRefused || r.After < time.Second {
				t.Errorf("state of %s: %+v, want %s with a delay", id, r, drive.ResultRefused)
			}
			if r := c.submit(id, newStep(1)); r.Result != drive.ResultRefused {
				t.Errorf("submit of %s: %+v, want %s", id, r, drive.ResultRefused)
			}
		}
	})
}
