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
	bookTasks  = 60
	auditTasks = 12
	bookRun    = 400 * time.Millisecond
	auditRun   = 3 * time.Second
	watchID    = "watch"
)

// play goes through the scenes: load and batch work side by side, a failure domain out
// and back, an entry process lost, the store away.
func (d *Demo) play(ctx context.Context) error {
	scenes := []struct {
		name string
		do   func(context.Context) error
	}{
		{"every process ready", d.ready},
		{"check-ins by " + fmt.Sprint(callers) + " callers, photo books and audits beside them", d.begin},
		{"failure domain " + zones[1] + " out", d.domainOut},
		{"failure domain " + zones[1] + " back", d.domainBack},
		{"an entry process lost without a word", d.lose},
		{"the store away for longer than every lease", d.storeAway},
		{"batch work finished", d.finish},
	}
	for i, s := range scenes {
		d.say("%d/%d %s", i+1, len(scenes), s.name)
		if err := s.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) ready(ctx context.Context) error {
	return d.until(ctx, "every process ready", func() bool {
		for _, n := range d.nodes {
			if !n.Ready() {
				return false
			}
		}
		return true
	})
}

func (d *Demo) begin(ctx context.Context) error {
	for _, n := range d.nodes {
		d.load.addrs = append(d.load.addrs, n.CallerAddr())
	}
	d.load.start(callers)
	for _, s := range []jobs.Spec{
		{ID: "books", Kind: "audit", N: bookTasks, Size: wire.Size{CPU: 1000, Mem: 500}, Run: bookRun},
		{ID: "audits", Kind: "audit", N: auditTasks, Size: wire.Size{CPU: 1000, Mem: 500}, Run: auditRun},
		{ID: watchID, Kind: "audit", N: 1, Size: wire.Size{CPU: 500, Mem: 500}, Standing: true},
	} {
		if err := d.submit(ctx, s); err != nil {
			return err
		}
	}
	return d.more(ctx, 200)
}

func (d *Demo) submit(ctx context.Context, s jobs.Spec) error {
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

// more waits for n more answers.
func (d *Demo) more(ctx context.Context, n int) error {
	from := d.load.answered()
	return d.until(ctx, "more answers", func() bool { return d.load.answered() >= from+n })
}

func (d *Demo) running(zone int) int {
	n := 0
	for i, w := range d.workers {
		if i%3 == zone {
			n += len(w.RunningTasks())
		}
	}
	return n
}

func (d *Demo) domainOut(ctx context.Context) error {
	if _, err := sheet.SetZoneEvacuated(ctx, d.client, zones[1], true); err != nil {
		return err
	}
	if err := d.until(ctx, "no task left there", func() bool { return d.running(1) == 0 }); err != nil {
		return err
	}
	if err := d.more(ctx, 100); err != nil {
		return err
	}
	if d.running(1) > 0 {
		d.broken = append(d.broken, "a task started in a failure domain that is out")
	}
	return nil
}

func (d *Demo) domainBack(ctx context.Context) error {
	if _, err := sheet.SetZoneEvacuated(ctx, d.client, zones[1], false); err != nil {
		return err
	}
	return d.more(ctx, 100)
}

func (d *Demo) lose(ctx context.Context) error {
	d.load.drop(d.nodes[2].CallerAddr())
	d.nodes[2].Abort()
	err := d.until(ctx, "its targets taken over", func() bool { return d.owned(d.nodes[0])+d.owned(d.nodes[1]) == targets })
	if err != nil {
		return err
	}
	return d.more(ctx, 200)
}

func (d *Demo) owned(n *node.Node) int {
	resp, err := http.Get("http://" + n.AdminAddr() + "/v1/status")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var s node.Status
	_ = json.NewDecoder(resp.Body).Decode(&s)
	return len(s.Services[service].Targets)
}

func (d *Demo) storeAway(ctx context.Context) error {
	d.store.SetDown(true)
	t := time.NewTimer(2 * lease)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	if err := d.more(ctx, 100); err != nil {
		return err
	}
	d.store.SetDown(false)
	return d.more(ctx, 100)
}

func (d *Demo) finish(ctx context.Context) error {
	err := d.until(ctx, "every result out", func() bool { return len(d.accepts()) == bookTasks+auditTasks })
	d.load.end()
	return err
}

// accepts counts the results that went out, by task.
func (d *Demo) accepts() map[string]int {
	sum := map[string]int{}
	for _, w := range d.workers {
		for id, n := range w.AcceptedResults() {
			task, _, _ := strings.Cut(id, "@")
			sum[task] += n
		}
	}
	return sum
}

// report checks the promises and prints the table.
func (d *Demo) report() {
	d.checkRequests()
	twice := 0
	accepts := d.accepts()
	for _, n := range accepts {
		if n > 1 {
			twice++
		}
	}
	d.promise("each task's result goes out once", twice == 0 && len(accepts) == bookTasks+auditTasks)
	reads, writes := d.store.Calls()
	p50, p99 := d.load.quantiles()
	w := tabwriter.NewWriter(d.out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "\nrequests answered\t%d\nrequests refused, not run\t%d\nrequests with unknown outcome\t%d\n",
		d.load.answered(), d.load.refused(), d.load.unknown())
	fmt.Fprintf(w, "p50 and p99 of answers\t%s, %s (one request takes %s)\n", p50, p99, work)
	fmt.Fprintf(w, "tasks finished once\t%d of %d\nstore calls\t%d reads, %d writes\n", len(accepts)-twice, bookTasks+auditTasks, reads, writes)
	_ = w.Flush()
	if len(d.broken) == 0 {
		d.say("every promise was kept")
	}
	for _, b := range d.broken {
		d.say("BROKEN: %s", b)
	}
}

func (d *Demo) promise(text string, kept bool) {
	if !kept {
		d.broken = append(d.broken, text)
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
	d.load.each(func(key string, a answer) {
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
	d.promise("no check-in runs twice", once)
	d.promise("every caller gets the whole answer to its own request", own)
	d.promise("what is called not run has not run", honest)
	d.promise("no target gets more than its slots", over == 0)
}
