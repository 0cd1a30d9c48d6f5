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
	bookTasks        = 60
	auditTasks       = 12
	bookTaskTime     = 400 * time.Millisecond
	auditTaskTime    = 3 * time.Second
	longRunningJobID = "watch"
)

// runScenes goes through the scenes: load and batch work side by side, a failure domain out
// and back, an entry process lost, the store away.
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

func (d *Demo) awaitReady(ctx context.Context) error {
	return d.waitUntil(ctx, "every process ready", func() bool {
		for _, n := range d.nodes {
			if !n.Ready() {
				return false
			}
		}
		return true
	})
}

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
		return errors.Errorf("demo: job %s: %s", s.ID, resp.Status)
	}
	return nil
}

// awaitAnswers waits for n awaitAnswers answers.
func (d *Demo) awaitAnswers(ctx context.Context, n int) error {
	from := d.callers.answeredCount()
	return d.waitUntil(ctx, "more answers", func() bool { return d.callers.answeredCount() >= from+n })
}

func (d *Demo) runningTasks(zone int) int {
	n := 0
	for i, w := range d.workers {
		if i%3 == zone {
			n += len(w.RunningTasks())
		}
	}
	return n
}

func (d *Demo) evacuateZone(ctx context.Context) error {
	if _, err := sheet.SetZoneEvacuated(ctx, d.storeClient, zones[1], true); err != nil {
		return err
	}
	if err := d.waitUntil(ctx, "no task left there", func() bool { return d.runningTasks(1) == 0 }); err != nil {
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

func (d *Demo) restoreZone(ctx context.Context) error {
	if _, err := sheet.SetZoneEvacuated(ctx, d.storeClient, zones[1], false); err != nil {
		return err
	}
	return d.awaitAnswers(ctx, 100)
}

func (d *Demo) abortEntry(ctx context.Context) error {
	d.callers.removeAddr(d.nodes[2].CallerAddr())
	d.nodes[2].Abort()
	err := d.waitUntil(ctx, "its targets taken over", func() bool { return d.ownedTargets(d.nodes[0])+d.ownedTargets(d.nodes[1]) == targetCount })
	if err != nil {
		return err
	}
	return d.awaitAnswers(ctx, 200)
}

func (d *Demo) ownedTargets(n *node.Node) int {
	resp, err := http.Get("http://" + n.AdminAddr() + "/v1/status")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var s node.Status
	_ = json.NewDecoder(resp.Body).Decode(&s)
	return len(s.Services[serviceName].Targets)
}

func (d *Demo) storeOutage(ctx context.Context) error {
	d.store.SetDown(true)
	t := time.NewTimer(2 * leaseTTL)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	if err := d.awaitAnswers(ctx, 100); err != nil {
		return err
	}
	d.store.SetDown(false)
	return d.awaitAnswers(ctx, 100)
}

func (d *Demo) awaitResults(ctx context.Context) error {
	err := d.waitUntil(ctx, "every result out", func() bool { return len(d.acceptedResults()) == bookTasks+auditTasks })
	d.callers.stop()
	return err
}

// acceptedResults counts the results that went out, by task.
func (d *Demo) acceptedResults() map[string]int {
	sum := map[string]int{}
	for _, w := range d.workers {
		for id, n := range w.AcceptedResults() {
			task, _, _ := strings.Cut(id, "@")
			sum[task] += n
		}
	}
	return sum
}

// printReport checks the promises and prints the table.
func (d *Demo) printReport() {
	d.checkRequests()
	twice := 0
	accepts := d.acceptedResults()
	for _, n := range accepts {
		if n > 1 {
			twice++
		}
	}
	d.checkGuarantee("each task's result goes out once", twice == 0 && len(accepts) == bookTasks+auditTasks)
	reads, writes := d.store.Calls()
	p50, p99 := d.callers.latencyQuantiles()
	w := tabwriter.NewWriter(d.output, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "\nrequests answered\t%d\nrequests refused, not run\t%d\nrequests with unknown outcome\t%d\n",
		d.callers.answeredCount(), d.callers.refusedCount(), d.callers.unknownCount())
	fmt.Fprintf(w, "p50 and p99 of answers\t%s, %s (one request takes %s)\n", p50, p99, requestTime)
	fmt.Fprintf(w, "tasks finished once\t%d of %d\nstore calls\t%d reads, %d writes\n", len(accepts)-twice, bookTasks+auditTasks, reads, writes)
	_ = w.Flush()
	if len(d.violations) == 0 {
		d.printf("every promise was kept")
	}
	for _, b := range d.violations {
		d.printf("BROKEN: %s", b)
	}
}

func (d *Demo) checkGuarantee(text string, kept bool) {
	if !kept {
		d.violations = append(d.violations, text)
	}
}

func (d *Demo) checkRequests() {
	runs := func(key string) int {
		n := 0
		for _, t := range d.targets {
			n += t.Runs(key)
		}
		return n
	}
	once, own, honest := true, true, true
	d.callers.forEachAnswer(func(key string, a answer) {
		n := runs(key)
		once = once && n <= 1
		own = own && (a.status != http.StatusOK || a.body == "POST /checkin "+key && n == 1)
		honest = honest && (a.outcome != "not-run" || n == 0)
	})
	over := 0
	for _, t := range d.targets {
		_, _, n := t.PeakLoad()
		over += n
	}
	d.checkGuarantee("no check-in runs twice", once)
	d.checkGuarantee("every caller gets the whole answer to its own request", own)
	d.checkGuarantee("what is called not run has not run", honest)
	d.checkGuarantee("no target gets more than its slots", over == 0)
}
