package main

import (
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["fuzz"] = playFuzz }

// randomJob returns a job of a random kind.
func randomJob(r *rand.Rand) jobBody {
	b := jobBody{Spec: "job " + strconv.Itoa(r.IntN(1000))}
	for i := range 1 + r.IntN(4) {
		s := jobStep{Count: 1 + r.IntN(8), CPU: 100 + r.IntN(1000), MemMb: 100, EstimateMs: int64(100 + r.IntN(2500)), Image: "a"}
		if i > 0 {
			s.After = []int{i - 1}
		}
		s.Gang = r.IntN(5) == 0
		b.JobSteps = append(b.JobSteps, s)
	}
	switch r.IntN(8) {
	case 0:
		b.RepeatCount, b.IntervalMs, b.StartAtMs = 5, 1500, time.Now().Add(2*time.Second).UnixMilli()
	case 1:
		b.JobSteps = b.JobSteps[:1]
		b.JobSteps[0].LongRunning, b.JobSteps[0].Gang = true, false
	}
	return b
}

// playFuzz plays random jobs with random disruptions.
func playFuzz(b *bed) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewPCG(seed, seed))
	if err := b.up(4, 12, 32000); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for c := range 3 {
		cr := rand.New(rand.NewPCG(seed, uint64(100+c)))
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(700+cr.IntN(900)) * time.Millisecond):
				}
				j, ok := b.client.submit(b.queue, randomJob(cr), 3)
				if ok && (cr.IntN(6) == 0 || j.body.JobSteps[0].LongRunning && cr.IntN(2) == 0) {
					wg.Go(func() {
						time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
						for range 10 {
							if b.client.cancel(j) {
								break
							}
							time.Sleep(500 * time.Millisecond)
						}
					})
				}
			}
		})
	}
	end := time.Now().Add(45 * time.Second)
	gap, longest, kinds := envInt("GAP", 3000), envInt("LONGEST", 5000), []int{}
	for _, k := range strings.Split(os.Getenv("KINDS"), ",") {
		if n, err := strconv.Atoi(k); err == nil {
			kinds = append(kinds, n)
		}
	}
	if len(kinds) == 0 {
		kinds = []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}
	}
	for b.trouble && time.Now().Before(end) {
		time.Sleep(time.Duration(200+r.IntN(gap)) * time.Millisecond)
		kind, which, d := kinds[r.IntN(len(kinds))], r.IntN(10), time.Duration(100+r.IntN(longest))*time.Millisecond
		wg.Go(func() { b.randomTrouble(kind, which, d) })
	}
	time.Sleep(time.Until(end))
	close(stop)
	wg.Wait()
	b.settle(25 * time.Second)
	return nil
}

// randomTrouble makes one disruption.
func (b *bed) randomTrouble(kind, which int, d time.Duration) {
	h := b.hosts[which%len(b.hosts)]
	if x := b.holder(); x != nil && kind%2 == 0 {
		h = x
	}
	x := b.runners[which]
	if slices.Contains([]int{0, 1, 2, 3, 10}, kind) {
		if !h.trouble.TryLock() {
			return
		}
		defer h.trouble.Unlock()
	}
	b.ledger.note("trouble %d: host %s or runner %s for %.1f s", kind, h.name, x.id, d.Seconds())
	switch kind {
	case 0, 1:
		h.kill()
		time.Sleep(min(d, time.Second))
		_ = h.start()
	case 2, 3:
		h.signal(syscall.SIGSTOP)
		time.Sleep(d)
		h.signal(syscall.SIGCONT)
	case 4:
		b.store.setMode(-1, storeBusy)
		time.Sleep(d)
		b.store.setMode(-1, storeServes)
	case 5:
		b.store.setMode(-1, storeSilent)
		time.Sleep(d)
		b.store.setMode(-1, storeServes)
	case 6, 7:
		b.store.setMode(h.number, storeSilent)
		time.Sleep(d)
		b.store.setMode(h.number, storeServes)
	case 8:
		x.crashFor(d)
	case 9:
		x.mu.Lock()
		x.cut = true
		x.mu.Unlock()
		time.Sleep(d)
		x.mu.Lock()
		x.cut = false
		x.mu.Unlock()
	case 10:
		h.signal(syscall.SIGTERM)
		<-h.dead
		time.Sleep(300 * time.Millisecond)
		_ = h.start()
	case 11:
		x.mu.Lock()
		x.lateShare, x.lateFrom, x.lateUpTo = 0.3, 2*time.Second, 12*time.Second
		x.mu.Unlock()
		time.Sleep(d)
		x.mu.Lock()
		x.lateShare = 0
		x.mu.Unlock()
	}
}

// crashFor crashes the runner; it comes back after d.
func (r *runner) crashFor(d time.Duration) {
	r.mu.Lock()
	up := r.life.up
	r.mu.Unlock()
	if !up {
		return
	}
	r.crash()
	time.Sleep(d)
	r.start()
}

// settle waits until all accepted jobs have ended, and checks their states.
func (b *bed) settle(most time.Duration) {
	end := time.Now().Add(most)
	for time.Now().Before(end) && len(b.ledger.unfinished()) > 0 {
		time.Sleep(300 * time.Millisecond)
	}
	for _, u := range b.ledger.unfinished() {
		b.ledger.fail("LOST: %s", u)
	}
	time.Sleep(2 * time.Second)
	for _, j := range b.ledger.jobs {
		got := b.client.state(j)
		lasts := j.body.JobSteps[0].LongRunning
		switch {
		case j.accepted.IsZero():
			if j.open == 0 && got != "gone" {
				b.ledger.fail("REFUSED: %s is shown as %q, all attempts were rejected", j.id, got)
			}
		case !j.cancelAsked.IsZero():
			if got != "cancelled" && got != "completed" {
				b.ledger.fail("CANCEL: %s is shown as %q", j.id, got)
			}
		case lasts && got != "running" || !lasts && got != "completed":
			b.ledger.fail("STATE: %s is shown as %q", j.id, got)
		}
	}
	b.ledger.mu.Lock()
	defer b.ledger.mu.Unlock()
	for _, runs := range b.ledger.runs {
		for _, r := range runs {
			j := b.ledger.jobs[r.task[:16]]
			if !j.cancelled.IsZero() && r.began.Sub(j.cancelled) > 3*time.Second && !r.late {
				b.ledger.failLocked("UNASKED: %s run %d began %.1f s after the cancel", r.task, r.run, r.began.Sub(j.cancelled).Seconds())
			}
			if !j.cancelled.IsZero() && r.ended.IsZero() && time.Since(j.cancelled) > 8*time.Second {
				b.ledger.failLocked("UNASKED: %s run %d works on, cancelled %.1f s ago", r.task, r.run, time.Since(j.cancelled).Seconds())
			}
			if j.accepted.IsZero() && j.open == 0 {
				b.ledger.failLocked("REFUSED: %s run %d began, all attempts were rejected", r.task, r.run)
			}
		}
	}
}

// envInt returns a number of the environment.
func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}
