package front

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/batch/drive"
)

// A shop hands a book in; while it's on its way to the store, operators change the configuration,
// and another answer of the same host is based on the new one. The book's own answer comes as of
// the old one. It is stored, so the shop has to hear so, and not that nobody knows. A former
// holder's word alone is never passed on.
func TestAnswerFromNewestConfig(t *testing.T) {
	done := func(v int64) drive.Reply { return drive.Reply{Result: drive.ResultDone, Version: v} }
	for _, tt := range []struct {
		name    string
		verb    drive.Verb
		replies []drive.Reply // the last one is given again and again
		want    drive.Result
	}{
		{"newest at once", drive.VerbSubmit, []drive.Reply{done(6)}, drive.ResultDone},
		{"stored, then known", drive.VerbSubmit, []drive.Reply{done(3), done(6)}, drive.ResultDone},
		{"a former holder only", drive.VerbSubmit, []drive.Reply{done(3)}, drive.ResultUnknown},
		{"stored, then the queue is gone", drive.VerbSubmit, []drive.Reply{done(3), {Result: drive.ResultNoQueue, Version: 6}}, drive.ResultUnknown},
		{"refused, then the queue is gone", drive.VerbSubmit, []drive.Reply{{Result: drive.ResultRefused, Version: 3}, {Result: drive.ResultNoQueue, Version: 6}}, drive.ResultNoQueue},
		{"no queue then, and none now", drive.VerbSubmit, []drive.Reply{{Result: drive.ResultNoQueue, Version: 3}, {Result: drive.ResultNoQueue, Version: 6}}, drive.ResultNoQueue},
		{"state, then the newest", drive.VerbState, []drive.Reply{{Result: drive.ResultNoJob, Version: 3}, {Result: drive.ResultState, Version: 6}}, drive.ResultState},
		{"state of a former holder only", drive.VerbState, []drive.Reply{{Result: drive.ResultNoJob, Version: 3}}, drive.ResultRefused},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &Forwarder{newestVersion: 6}
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				n := 0
				got := d.answerFromNewestConfig(ctx, drive.Request{Verb: tt.verb}, func(context.Context, drive.Request) drive.Reply {
					rep := tt.replies[min(n, len(tt.replies)-1)]
					n++
					return rep
				})
				if got.Result != tt.want {
					t.Errorf("%+v after %d answers, want %s", got, n, tt.want)
				}
			})
		})
	}
}
