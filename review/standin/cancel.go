package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Times of the case cancel.
const (
	cancelPatience  = 400 * time.Millisecond // of the caller that hands the job in
	cancelLateWrite = 3 * time.Second        // pages: 1 to 6 s
	cancelLimit     = 3 * time.Second        // cancel_ms
	cancelWatched   = 20 * time.Second       // after the cancelling was acknowledged
)

func init() { cases["cancel"] = playCancel }

// setLateWrite sets the rule for writes that get no answer.
func (s *platformStore) setLateWrite(rule func(keys string) (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateWrite = rule
}

// writes returns how many writes were answered, and of how many the answer was lost.
func (s *platformStore) writes() (answered, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered, s.lost
}

// unasked checks the rule UNASKED for a job whose cancelling was acknowledged at a time: no task starts later than cancelMs
// after that, and none runs on stopTimeoutMs after that.
func (l *ledger) unasked(rec *record, job string, acked time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var broken []string
	startLimit := acked.Add(cancelLimit)
	runLimit := startLimit.Add(stopLimit)
	for _, r := range l.runs {
		if !strings.HasPrefix(r.task, job+".") {
			continue
		}
		switch {
		case r.start.After(startLimit):
			broken = append(broken, fmt.Sprintf("UNASKED: %s starts %.3f s after its job's cancelling was acknowledged: %s", r.task, r.start.Sub(acked).Seconds(), r.describe(rec)))
		case r.end.IsZero() && time.Now().After(runLimit) || r.end.After(runLimit):
			broken = append(broken, fmt.Sprintf("UNASKED: %s runs on after its job's cancelling was acknowledged at %.3f: %s", r.task, rec.seconds(acked), r.describe(rec)))
		}
	}
	return broken
}

// playCancel plays a caller that leaves while its job is handed in and then cancels the job, as one write of the store gets
// no answer and is done late.
func playCancel(rec *record, trouble bool) ([]string, error) {
	const id = "5c0e7a21d94b36f8"
	d, err := newDeployment(rec, []string{"a", "b", "c"}, 6, "store", func(task string) time.Duration {
		if strings.HasPrefix(task, id) {
			return 6 * time.Second
		}
		return time.Second
	})
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return nil, err
	}
	for _, other := range []string{"5c0e7a21d94b3600", "5c0e7a21d94b3601", "5c0e7a21d94b3602", "5c0e7a21d94b3603"} {
		if !d.submit(1, other, []step{{Count: 2, CPU: 4000, MemMb: 8000, EstimateMs: 1000}}) {
			return nil, errors.New("a job wasn't accepted before the trouble")
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		lost := false
		d.store.setLateWrite(func(keys string) (time.Duration, bool) {
			if lost || !strings.Contains(keys, "job/"+id) {
				return 0, false
			}
			lost = true
			return cancelLateWrite, true
		})
	}
	body, err := json.Marshal(map[string]any{"spec": "spec of " + id, "jobSteps": []step{
		{Count: 2, CPU: 4000, MemMb: 8000, EstimateMs: 6000}, {Count: 2, CPU: 4000, MemMb: 8000, EstimateMs: 6000, After: []int{0}},
	}})
	if err != nil {
		return nil, err
	}
	if code, _ := d.ask(http.MethodPost, 1, id, body, cancelPatience); trouble == (code != 0) {
		return nil, errors.New("the caller that hands the job in was answered, or wasn't, against the plan of the case")
	}
	var acked time.Time
	for n := 0; acked.IsZero(); n++ {
		if n == 10 {
			return nil, errors.New("the cancelling wasn't acknowledged")
		}
		if code, _ := d.ask(http.MethodDelete, 1+n%3, id, nil, deadline); code/100 == 2 || code == http.StatusGone {
			acked = time.Now()
		} else {
			time.Sleep(300 * time.Millisecond)
		}
	}
	time.Sleep(cancelWatched)
	d.ask(http.MethodGet, 1, id, nil, deadline)
	answered, lost := d.store.writes()
	rec.add("store: %d writes answered, %d not", answered, lost)
	return d.ledger.unasked(rec, id, acked), nil
}
