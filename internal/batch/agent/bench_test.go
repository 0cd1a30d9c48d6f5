package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/base/telem"
	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
	"bramleysail.example/bramleysail/internal/fake/codec"
	"bramleysail.example/bramleysail/internal/fake/fleet"
	"bramleysail.example/bramleysail/internal/fake/txkv"
)

// BenchmarkRuns measures what a run costs the holder with its agents and workers, all in one process: 1,100 workers, eight
// agents over net/rpc, 3,300 starts a second. A profile with -cpuprofile tells the holder's part.
func BenchmarkRuns(b *testing.B) {
	const workers, agents, tasks, perSecond = 1100, 8, 33, 3300
	fl := fleet.New(workers, wire.Size{CPU: 64000, Mem: 256000}, rand.New(rand.NewPCG(1, 1)), func(string) (time.Duration, sched.End) {
		return 1200 * time.Millisecond, sched.EndDone
	})
	store := &txkv.Service{}
	config := sched.Config{Version: 1, Queues: []sched.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Tries: 3, Stretch: 2, Aim: time.Second}}}
	if err := errors.Join(codec.WriteConfig(store, config), codec.WriteMembers(store, fl.Members())); err != nil {
		b.Fatal(err)
	}
	direct := fl.Client(func(sched.Member) bool { return false })
	var candidates []Candidate
	for range agents {
		service := NewService(direct)
		addr, stop := startServer(b, service)
		defer stop()
		candidates = append(candidates, Candidate{Addr: addr, Limits: Limits{Cores: 0.8, LinkMbps: 200, Conns: 6000}})
	}
	ctx, cancel := context.WithCancel(context.Background())
	log := telem.NewLogger(io.Discard, "info")
	client := NewClient(ctx, Options{Direct: direct, Log: log, Scope: tally.NoopScope})
	elector := lead.New(lead.Options{Store: store.Client(nil), Name: "holder", Addr: "holder", LeaseTTL: drive.HolderLease, Log: logr.Discard()})
	ready := make(chan *drive.Holder, 1)
	var wg sync.WaitGroup
	wg.Go(func() {
		elector.Run(ctx, func(tenure *lead.Tenure) {
			_ = drive.Run(drive.Options{
				Store: store.Client(nil), Workers: client, Codec: codec.New(), Tenure: tenure, Log: log, Scope: tally.NoopScope,
				WorkerLease: drive.WorkerLease(fleet.MaxLease), MaxWorkerLease: fleet.MaxLease,
				MaxUnconfirmed: drive.MaxUnconfirmed, MaxStopTime: fleet.MaxStopTime, JobRetention: time.Hour,
			}, func(h *drive.Holder) { ready <- h })
		})
	})
	wg.Go(func() {
		for ctx.Err() == nil {
			client.Update(time.Now(), candidates, Demand{Workers: workers, Capacity: 666, Starts: perSecond * 3})
			wait.For(ctx, 300*time.Millisecond)
		}
	})
	holder := <-ready
	time.Sleep(4 * time.Second) // until all workers are in contact
	spec := strings.Repeat("x", 500)
	begun, before := time.Now(), cpuTime()
	b.ResetTimer()
	refused := 0
	for i := 0; i < b.N/tasks+1; i++ {
		data := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"size":{"CPU":7000,"Mem":13000},"est":1200000000}]}`, spec, tasks)
		id := fmt.Sprintf("/q/%016x", i)
		wg.Go(func() {
			if r := holder.Handle(ctx, drive.Request{Verb: drive.VerbSubmit, Host: "h", Path: id, Job: []byte(data)}); r.Result != drive.ResultDone && ctx.Err() == nil {
				refused++
			}
		})
		time.Sleep(time.Until(begun.Add(time.Duration(i+1) * time.Second * tasks / perSecond)))
	}
	time.Sleep(2 * time.Second)
	b.StopTimer()
	runs := float64((b.N/tasks + 1) * tasks)
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/runs, "cpu-us/run")
	b.ReportMetric(float64(refused), "refused")
	cancel()
	wg.Wait()
	client.Wait()
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
