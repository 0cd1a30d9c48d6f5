package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Times of the case cancel, the first three since the beginning of the outage.
const (
	cancelHandIn   = 100 * time.Millisecond  // when the job is handed in
	cancelOutage   = 3500 * time.Millisecond // how long the store is down
	cancelSent     = 3600 * time.Millisecond // when the caller, who has been told that the outcome is unknown, cancels the job
	cancelSettle   = 3 * time.Second         // before the outage
	cancelRetry    = time.Second             // between two attempts to cancel, as the answers ask for
	cancelTaskTime = 6 * time.Second
	cancelLimit    = 3 * time.Second // cancel_ms
	cancelWatched  = 20 * time.Second
	leasePause     = 100 * time.Millisecond // between two renewals of the paused leases
)

func init() { cases["cancel"] = playCancel }

// setDown begins or ends an outage of the store, in which it is silent and leases pause.
func (s *platformStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		close(s.isUp)
		return
	}
	s.isUp = make(chan struct{})
	go s.pauseLeases(s.isUp)
}

// pauseLeases keeps all leases that haven't ended while the store is down.
func (s *platformStore) pauseLeases(isUp <-chan struct{}) {
	client := s.service.Client(nil)
	for {
		s.mu.Lock()
		leases := s.leases
		s.mu.Unlock()
		for _, id := range leases {
			_ = client.RenewLease(context.Background(), id) // fails if it has ended
		}
		select {
		case <-isUp:
			return
		case <-time.After(leasePause):
		}
	}
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

// playCancel plays an outage of the store in which a caller hands a job in and, as the outcome is unknown, cancels it once
// the store is back.
func playCancel(rec *record, trouble bool) ([]string, error) {
	const id = "5c0e7a21d94b36f8"
	d, err := newDeployment(rec, []string{"a", "b", "c"}, 6, "store", func(string) time.Duration { return cancelTaskTime })
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(cancelSettle)
	start := time.Now()
	at := func(since time.Duration) { time.Sleep(time.Until(start.Add(since))) }
	if trouble {
		rec.add("the store is down")
		d.store.setDown(true)
		time.AfterFunc(cancelOutage, func() {
			d.store.setDown(false)
			rec.add("the store is back")
		})
	}
	body, err := json.Marshal(map[string]any{"spec": "spec of " + id, "jobSteps": []step{
		{Count: 2, CPU: 4000, MemMb: 8000, EstimateMs: cancelTaskTime.Milliseconds()},
		{Count: 2, CPU: 4000, MemMb: 8000, EstimateMs: cancelTaskTime.Milliseconds(), After: []int{0}},
	}})
	if err != nil {
		return nil, err
	}
	at(cancelHandIn)
	if code, _ := d.ask(http.MethodPost, 1, id, body, deadline); trouble == (code/100 == 2) {
		return nil, fmt.Errorf("handing the job in was answered %d, against the plan of the case", code)
	}
	at(cancelSent)
	var acked time.Time
	for n := 0; acked.IsZero(); n++ {
		if n == 10 {
			return nil, errors.New("the cancelling wasn't acknowledged")
		}
		if code, _ := d.ask(http.MethodDelete, 1, id, nil, deadline); code/100 == 2 || code == http.StatusGone {
			acked = time.Now()
		} else {
			time.Sleep(cancelRetry)
		}
	}
	time.Sleep(cancelWatched)
	d.ask(http.MethodGet, 1, id, nil, deadline)
	return d.ledger.unasked(rec, id, acked), nil
}
