package agent

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/batch/drive"
)

// Guards against starts that queue behind the link of one agent, and jobs that are refused for it, while other hosts could
// carry them: 3,000 starts a second are asked for where each link carries a third.
func TestStartRateOverNarrowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers, agents, tasks = 300, 12, 300
		h := startLimitedHolding(t, workers, agents, 400*time.Millisecond, Limits{Cores: 4, LinkMbps: 1000 * mbitPerStart, Conns: 10_000})
		refused, sent := 0, 0
		var accepted []string
		for begun := time.Now(); time.Since(begun) < 8*time.Second; sent++ {
			id := fmt.Sprintf("j%d", sent)
			data := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"size":{"CPU":1000,"Mem":1000},"est":400000000}]}`, tasks)
			r := h.holder.Handle(context.Background(), drive.Request{Verb: drive.VerbSubmit, Host: "h", Path: "/q/" + id, Job: []byte(data)})
			if r.Result == drive.ResultDone {
				accepted = append(accepted, id)
			} else {
				refused++
			}
			time.Sleep(time.Until(begun.Add(time.Duration(sent+1) * 100 * time.Millisecond)))
		}
		time.Sleep(2 * time.Second)
		done := 0
		for _, id := range accepted {
			if r := h.holder.Handle(context.Background(), drive.Request{Verb: drive.VerbState, Host: "h", Path: "/q/" + id}); r.State == "completed" {
				done++
			}
		}
		if refused > 0 || done < sent {
			t.Errorf("of %d jobs %d were refused and %d are completed 2 s after the last, though workers had room for all", sent, refused, done)
		}
		h.check()
		h.stop()
	})
}
