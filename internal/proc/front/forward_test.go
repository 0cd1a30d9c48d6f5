package front

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
)

// A job is submitted. While it is being stored, operators change the configuration, and another answer of the same
// process is based on the new one; the job's own answer is still based on the old one. As the job is stored, the caller
// must be told that the submission succeeded, not that its outcome is unknown. An answer that only a former holder has
// given is never returned.
func TestAnswerFromNewestConfig(t *testing.T) {
	done := func(v int64) drive.Reply { return drive.Reply{Result: drive.ResultDone, Version: v} }
	for _, tt := range []struct {
		name    string
		verb    drive.Verb
		replies []drive.Reply // the last one is repeated
		want    drive.Result
	}{
		{"newest configuration at once", drive.VerbSubmit, []drive.Reply{done(6)}, drive.ResultDone},
		{"stored, then confirmed by the current holder", drive.VerbSubmit, []drive.Reply{done(3), done(6)}, drive.ResultDone},
		{"former holder only", drive.VerbSubmit, []drive.Reply{done(3)}, drive.ResultUnknown},
		{"stored, then the queue is deleted", drive.VerbSubmit, []drive.Reply{done(3), {Result: drive.ResultNoQueue, Version: 6}}, drive.ResultUnknown},
		{"refused, then the queue is deleted", drive.VerbSubmit, []drive.Reply{{Result: drive.ResultRefused, Version: 3}, {Result: drive.ResultNoQueue, Version: 6}}, drive.ResultNoQueue},
		{"no queue in either configuration", drive.VerbSubmit, []drive.Reply{{Result: drive.ResultNoQueue, Version: 3}, {Result: drive.ResultNoQueue, Version: 6}}, drive.ResultNoQueue},
		{"state from an older, then from the newest configuration", drive.VerbState, []drive.Reply{{Result: drive.ResultNoJob, Version: 3}, {Result: drive.ResultState, Version: 6}}, drive.ResultState},
		{"state from a former holder only", drive.VerbState, []drive.Reply{{Result: drive.ResultNoJob, Version: 3}}, drive.ResultRefused},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &Forwarder{newestVersion: 6}
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				calls := 0
				got := f.answerFromNewestConfig(ctx, drive.Request{Verb: tt.verb}, func(context.Context, drive.Request) drive.Reply {
					rep := tt.replies[min(calls, len(tt.replies)-1)]
					calls++
					return rep
				})
				if got.Result != tt.want {
					t.Errorf("got %+v after %d answers, want result %s", got, calls, tt.want)
				}
			})
		})
	}
}

// Guards against a submission that is sent again until it is accepted though its job has been cancelled meanwhile, and
// against one that is told of as refused though a call that got no answer may have been carried out.
func TestSettles(t *testing.T) {
	refused := drive.RefusedReply("x", time.Second)
	cancelled := refused
	cancelled.Final = true
	for _, tt := range []struct {
		name       string
		reply      drive.Reply
		answerLost bool
		want       bool
	}{
		{"refused", refused, false, true},
		{"refused after a lost answer", refused, true, false},
		{"cancelled after a lost answer", cancelled, true, true},
		{"done after a lost answer", drive.Reply{Result: drive.ResultDone}, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := settles(tt.reply, tt.answerLost); got != tt.want {
				t.Errorf("%t, want %t", got, tt.want)
			}
		})
	}
}

// Guards against a job that runs though its cancel was answered "no such job": a host that has stood still passes on its
// submission long after the caller has left. A submission in a shorter stall, and other requests, are passed on.
func TestRequestAfterStall(t *testing.T) {
	for _, tt := range []struct {
		name   string
		verb   drive.Verb
		stall  time.Duration
		passed bool
	}{
		{"submission", drive.VerbSubmit, 0, true},
		{"submission after a short stall", drive.VerbSubmit, 4 * time.Second, true},
		{"submission after a long stall", drive.VerbSubmit, 11 * time.Second, false},
		{"cancel after a long stall", drive.VerbCancel, 11 * time.Second, true},
		{"state after a long stall", drive.VerbState, 11 * time.Second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := &Forwarder{log: logr.Discard(), scope: tally.NoopScope, elector: lead.New(lead.Options{}), monitor: &peerMonitor{}}
			f.stalls.Beat(time.Now().Add(-tt.stall))
			rep := f.Handle(t.Context(), drive.Request{Verb: tt.verb, Path: "/q/a"})
			if passed := rep.Why != reasonTooOld; passed != tt.passed || rep.Result != drive.ResultRefused {
				t.Errorf("%+v, want passed on: %t", rep, tt.passed)
			}
		})
	}
}
