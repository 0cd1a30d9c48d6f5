package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

func init() {
	scenarios["late"] = playLate
	scenarios["outage"] = playOutage
}

// chain returns a job of n steps, each of count tasks that take ms.
func chain(n, count int, ms int64, cpu int) jobBody {
	b := jobBody{Spec: "chain"}
	for i := range n {
		s := jobStep{Count: count, CPU: cpu, MemMb: 100, EstimateMs: ms, Image: "a"}
		if i > 0 {
			s.After = []int{i - 1}
		}
		b.JobSteps = append(b.JobSteps, s)
	}
	return b
}

// submitAll hands n jobs in, some at a time.
func (b *bed) submitAll(n int, body func() jobBody) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, 8)
	for range n {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			b.client.submit(b.queue, body(), 10)
			<-slots
		}()
	}
	wg.Wait()
}

// Limits of the disruptions.
const (
	outageTime  = 4500 * time.Millisecond // of the store
	restartTime = 500 * time.Millisecond  // of a runner
)

// playOutage: the store is down for a while; in that time three of 22 runners crash and come back under their ids. A quarter of the runners is of the second kind; the steps of the jobs ask for the two kinds in turn.
func playOutage(b *bed) error {
	if err := b.up(3, 22, 16000); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	b.submitAll(chains, func() jobBody { return twoKinds(64) })
	time.Sleep(4 * time.Second)
	if !b.trouble {
		time.Sleep(outageTime)
	} else {
		b.ledger.note("store is down")
		b.store.setMode(-1, storeBusy)
		time.Sleep(crashAfter)
		crashed := []*runner{b.runners[1], b.runners[5], b.runners[9]}
		for _, r := range crashed {
			r.crash()
		}
		time.Sleep(restartTime)
		for _, r := range crashed {
			r.start()
		}
		time.Sleep(outageTime - crashAfter - restartTime)
		b.store.setMode(-1, storeServes)
		b.ledger.note("store is back")
	}
	time.Sleep(12 * time.Second)
	return nil
}

const (
	chains     = 34                      // jobs
	crashAfter = 2200 * time.Millisecond // when runners crash in the store's outage
)

// twoKinds returns a job of n steps of one task, for runners of the two kinds in turn: 0.6 to 1.4 s on one of the first kind, 20
// to 40 ms on one of the second.
func twoKinds(n int) jobBody {
	b := chain(n, 1, 0, 250)
	for i := range b.JobSteps {
		b.JobSteps[i].Requirements = kinds[i%2]
		if b.JobSteps[i].EstimateMs = 600 + rand.Int64N(800); i%2 == 1 {
			b.JobSteps[i].EstimateMs = 20 + rand.Int64N(20)
		}
	}
	return b
}

// Limits of the late orders.
const (
	lateShare = 0.055                   // of the orders
	lateTime  = 5500 * time.Millisecond // for which orders are left unanswered
	lateFrom  = 2 * time.Second         // when such an order is carried out at the earliest
	lateUpTo  = 12 * time.Second        // and at the latest
)

// setLate sets the share of orders that runners leave unanswered and carry out late.
func (b *bed) setLate(share float64) {
	b.ledger.note("runners leave %.3f of the orders unanswered", share)
	for _, r := range b.runners {
		r.mu.Lock()
		r.lateShare, r.lateFrom, r.lateUpTo = share, lateFrom, lateUpTo
		r.mu.Unlock()
	}
}

// playLate: runners leave some orders unanswered and carry them out late; three of 22 crash meanwhile and come back under their
// ids.
func playLate(b *bed) error {
	if err := b.up(3, 22, 16000); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if b.trouble {
		b.setLate(lateShare)
	}
	b.submitAll(90, func() jobBody { return chain(5, 10, 2000, 250) })
	time.Sleep(3 * time.Second)
	if b.trouble {
		for _, r := range b.runners[:3] {
			r.crash()
		}
		time.Sleep(restartTime)
		for _, r := range b.runners[:3] {
			r.start()
		}
		time.Sleep(lateTime - 3*time.Second - restartTime)
		b.setLate(0)
	}
	time.Sleep(14 * time.Second)
	return nil
}
