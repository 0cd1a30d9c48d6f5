package sched_test

import (
	"bytes"
	"testing"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Guards against records that grow with the checkpoints of all running tasks and are written with each end, and against a
// checkpoint that is lost with the holder once no worker reports it any more.
func TestStoredCheckpoints(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) { j.Steps[0].Count, j.Steps[0].RequiredLabel = 3, "w0" }))
	starts := b.planOrders(sched.VerbStart)
	if len(starts) != 3 {
		t.Fatalf("starts %v, want three", starts)
	}
	var running []sched.RunStatus
	for _, o := range starts {
		status := runStatus(o)
		status.Checkpoint = "saved-" + o.Task.String()
		running = append(running, status)
	}
	b.poll("w0", sched.Report{Running: running})
	done := finishedRun(1, starts[0], sched.EndDone)
	b.poll("w0", sched.Report{Running: running[1:], Finished: []sched.FinishedRun{done}})
	if data := b.storeChanges()["j"]; len(data) == 0 || bytes.Contains(data, []byte("saved-")) {
		t.Errorf("record %q, want one without checkpoints that the worker reports", data)
	}
	stopped := finishedRun(2, starts[1], sched.EndStopped)
	stopped.Checkpoint = running[1].Checkpoint
	b.poll("w0", sched.Report{Running: running[2:], Finished: []sched.FinishedRun{done, stopped}})
	if data := b.storeChanges()["j"]; !bytes.Contains(data, []byte(running[1].Checkpoint)) || bytes.Contains(data, []byte(running[2].Checkpoint)) {
		t.Errorf("record %q, want one with the checkpoint of the stopped run only", data)
	}
	b.loseContact("w0")
	b.core.UpdateDirectory(b.now, members(2))
	if data := b.storeChanges()["j"]; !bytes.Contains(data, []byte(running[2].Checkpoint)) {
		t.Errorf("record %q, want one with the checkpoint of the run whose worker was lost", data)
	}
}
