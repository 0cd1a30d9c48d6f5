package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/jobs"
	"bramleysail.example/bramleysail/internal/batch/wire"
	"bramleysail.example/bramleysail/internal/ctrl/sheet"
	"bramleysail.example/bramleysail/internal/proc/node"
)

const (
	bookTasks        = 60                     // tasks of the photo books' job
	auditTasks       = 12                     // tasks of the audits' job
	bookTaskTime     = 400 * time.Millisecond // how long a photo book's task runs
	auditTaskTime    = 3 * time.Second        // how long an audit's task runs
	longRunningJobID = "watch"                // job of a single long-running task
)

// runScenes runs the scenes in order: requests and batch work at the same time, a failure
// domain evacuated and restored, an entry process crashed, the store unreachable.
func (d *Demo) runScenes(ctx context.Context) error {
	scenes := []struct {
		name string
		do   func(context.Context) error
	}{
		{"every process ready", d.awaitReady},
		{"check-ins by " + fmt.Sprint(callerCount) + " callers, photo books and audits beside them", d.startWork},
		{"failure domain " + zones[1] + " out", d.evacuateZone},
		{"failure domain " + zones[1] + " back", d.restoreZone},
		{"an entry process lost without a word", d.abortEntry},
		{"the store away for longer than every lease", d.storeOutage},
		{"batch work finished", d.awaitResults},
	}
	for i, s := range scenes {
		d.printf("%d/%d %s", i+1, len(scenes), s.name)
		if err := s.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until every entry process is ready.
func (d *Demo) awaitReady(ctx context.Context) error {
	return d.waitUntil(ctx, "every entry process ready", func() bool {
		for _, n := range d.nodes {
			if !n.Ready() {
				return false
			}
		}
		return true
	})
}

// startWork starts the callers, submits the jobs and waits for the first answers.
func (d *Demo) startWork(ctx context.Context) error {
	for _, n := range d.nodes {
		d.callers.callerAddrs = append(d.callers.callerAddrs, n.CallerAddr())
	}
	d.callers.start(callerCount)
	for _, s := range []jobs.Spec{
		{ID: "books", Kind: "audit", N: bookTasks, Size: wire.Size{CPU: 1000, Mem: 500}, Run: bookTaskTime},
		{ID: "audits", Kind: "audit", N: auditTasks, Size: wire.Size{CPU: 1000, Mem: 500}, Run: auditTaskTime},
		{ID: longRunningJobID, Kind: "audit", N: 1, Size: wire.Size{CPU: 500, Mem: 500}, Standing: true},
	} {
		if err := d.submitJob(ctx, s); err != nil {
			return err
		}
	}
	return d.awaitAnswers(ctx, 200)
}

// submitJob submits a job through the administration API of the first entry process.
func (d *Demo) submitJob(ctx context.Context, s jobs.Spec) error {
	body, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.nodes[0].AdminAddr()+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("demo: submission of job %s answered with %s", s.ID, resp.Status)
	}
	return nil
}

// awaitAnswers waits until n more requests are answered.
func (d *Demo) awaitAnswers(ctx context.Context, n int) error {
	before := d.callers.answeredCount()
	return d.waitUntil(ctx, "more requests answered", func() bool { return d.callers.answeredCount() >= before+n })
}

// runningTasks returns the number of tasks now running on the workers of zones[zone].
func (d *Demo) runningTasks(zone int) int {
	n := 0
	for i, w := range d.workers {
		if i%3 == zone {
			n += len(w.RunningTasks())
		}
	}
	return n
}

// evacuateZone evacuates zones[1] and checks that no task starts there while it is out.
func (d *Demo) evacuateZone(ctx context.Context) error {
	if _, err := sheet.SetZoneEvacuated(ctx, d.storeClient, zones[1], true); err != nil {
		return err
	}
	if err := d.waitUntil(ctx, "no task running in the evacuated zone", func() bool { return d.runningTasks(1) == 0 }); err != nil {
		return err
	}
	if err := d.awaitAnswers(ctx, 100); err != nil {
		return err
	}
	if d.runningTasks(1) > 0 {
		d.violations = append(d.violations, "a task started in a failure domain that is out")
	}
	return nil
}

// restoreZone ends the evacuation of zones[1].
func (d *Demo) restoreZone(ctx context.Context) error {
	if _, err := sheet.SetZoneEvacuated(ctx, d.storeClient, zones[1], false); err != nil {
		return err
	}
	return d.awaitAnswers(ctx, 100)
}

// abortEntry crashes the third entry process and waits until the others own all targets.
func (d *Demo) abortEntry(ctx context.Context) error {
	d.callers.removeAddr(d.nodes[2].CallerAddr())
	d.nodes[2].Abort()
	err := d.waitUntil(ctx, "targets of the crashed entry process taken over", func() bool { return d.ownedTargets(d.nodes[0])+d.ownedTargets(d.nodes[1]) == targetCount })
	if err != nil {
		return err
	}
	return d.awaitAnswers(ctx, 200)
}

// ownedTargets returns the number of targets that n owns, or 0 if it does not answer.
func (d *Demo) ownedTargets(n *node.Node) int {
	resp, err := http.Get("http://" + n.AdminAddr() + "/v1/status")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var status node.Status
	_ = json.NewDecoder(resp.Body).Decode(&status)
	return len(status.Services[serviceName].Targets)
}

// storeOutage makes the store unreachable for longer than every lease. Requests must be
// answered during the outage and after it.
func (d *Demo) storeOutage(ctx context.Context) error {
	d.store.SetDown(true)
	timer := time.NewTimer(2 * leaseTTL)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	if err := d.awaitAnswers(ctx, 100); err != nil {
		return err
	}
	d.store.SetDown(false)
	return d.awaitAnswers(ctx, 100)
}

// awaitResults waits until every task has an accepted result, then stops the callers.
func (d *Demo) awaitResults(ctx context.Context) error {
	err := d.waitUntil(ctx, "every result accepted", func() bool { return len(d.acceptedResults()) == bookTasks+auditTasks })
	d.callers.stop()
	return err
}

// acceptedResults returns the number of accepted results by task. The workers
// count them by placement, whose form is job/index@number.
func (d *Demo) acceptedResults() map[string]int {
	results := map[string]int{}
	for _, w := range d.workers {
		for id, n := range w.AcceptedResults() {
			task, _, _ := strings.Cut(id, "@")
			results[task] += n
		}
	}
	return results
}

// printReport checks the guarantees and prints the figures and the violations.
func (d *Demo) printReport() {
	d.checkRequests()
	repeated := 0
	results := d.acceptedResults()
	for _, n := range results {
		if n > 1 {
			repeated++
		}
	}
	d.checkGuarantee("each task's result goes out once", repeated == 0 && len(results) == bookTasks+auditTasks)
	reads, writes := d.store.Calls()
	p50, p99 := d.callers.latencyQuantiles()
	table := tabwriter.NewWriter(d.output, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "\nrequests answered\t%d\nrequests refused, not run\t%d\nrequests with unknown outcome\t%d\n",
		d.callers.answeredCount(), d.callers.refusedCount(), d.callers.unknownCount())
	fmt.Fprintf(table, "p50 and p99 of answers\t%s, %s (one request takes %s)\n", p50, p99, requestTime)
	fmt.Fprintf(table, "tasks finished once\t%d of %d\nstore calls\t%d reads, %d writes\n", len(results)-repeated, bookTasks+auditTasks, reads, writes)
	_ = table.Flush()
	if len(d.violations) == 0 {
		d.printf("every promise was kept")
	}
	for _, violation := range d.violations {
		d.printf("BROKEN: %s", violation)
	}
}

// checkGuarantee records a violation unless the guarantee was kept.
func (d *Demo) checkGuarantee(guarantee string, kept bool) {
	if !kept {
		d.violations = append(d.violations, guarantee)
	}
}

// checkRequests compares the callers' answers with what the targets ran.
func (d *Demo) checkRequests() {
	runs := func(key string) int {
		n := 0
		for _, t := range d.targets {
			n += t.Runs(key)
		}
		return n
	}
	ranOnce, ownAnswer, refusedNotRun := true, true, true
	d.callers.forEachAnswer(func(key string, a answer) {
		n := runs(key)
		ranOnce = ranOnce && n <= 1
		ownAnswer = ownAnswer && (a.status != http.StatusOK || a.body == "POST /checkin "+key && n == 1)
		refusedNotRun = refusedNotRun && (a.outcome != "not-run" || n == 0)
	})
	slotViolations := 0
	for _, t := range d.targets {
		_, _, n := t.PeakLoad()
		slotViolations += n
	}
	d.checkGuarantee("no check-in runs twice", ranOnce)
	d.checkGuarantee("every caller gets the whole answer to its own request", ownAnswer)
	d.checkGuarantee("what is called not run has not run", refusedNotRun)
	d.checkGuarantee("no target gets more than its slots", slotViolations == 0)
}
