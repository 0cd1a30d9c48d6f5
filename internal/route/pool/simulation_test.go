package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bramleysail.example/bramleysail/internal/fake/event"
)

// simulation runs several cores and targets in virtual time, with a fixed delay for each message.
// It counts the requests that run at each target.
type simulation struct {
	event.Queue       // scheduled events
	rand              *rand.Rand
	networkDelay      time.Duration      // of a message between failure domains
	meanServiceTime   time.Duration      // of a request at a target
	slots             int                // of each target
	cores             map[string]*Core   // by id
	dead              map[string]bool    // cores that were killed, by id
	running           map[string]int     // requests running at each target, by address
	slowdown          map[string]float64 // factor on the service time of targets, by address
	overSlots         int                // requests that reached a target whose slots were all in use
	endings           map[uint64]int     // how often each call has ended, by id
	sent              map[uint64]int     // how often each call was sent, by id
	lateRefusals      int                // refusals given after the call's deadline
	refusals          int
	immediateRefusals int                     // refusals given on arrival
	latencies         *hdrhistogram.Histogram // times from the arrival of a call to its response
	waits             *hdrhistogram.Histogram // times that calls waited for a slot
	measureFrom       time.Time               // no times of earlier calls are recorded
	owners            map[string]string       // owner of each target
	permitUses        map[Key]permitUse       // permits in use by cores
	hangShare         float64                 // share of the requests that a target never answers

	suspended          map[string]bool // by id of the core
	sentWhileSuspended int             // requests sent by a suspended core
}

// permitUse is a permit that a core uses.
type permitUse struct {
	user, target string
	expires      time.Time
}

// zoneOf returns the failure domain of a core or target; they alternate among three.
func zoneOf(name string) int {
	n := 0
	_, _ = fmt.Sscanf(name[1:], "%d", &n)
	return n % 3
}

// delay returns how long a message takes from one core or target to another.
func (w *simulation) delay(a, b string) time.Duration {
	if zoneOf(a) == zoneOf(b) {
		return w.networkDelay / sameZoneSpeedup
	}
	return w.networkDelay
}

// sameZoneSpeedup is how many times shorter the network delay within a failure domain is.
const sameZoneSpeedup = 10

const (
	maxLatency        = int64(time.Minute)
	tickInterval      = 5 * time.Millisecond
	heartbeatInterval = 50 * time.Millisecond
)

// newSimulation returns a simulation in which the cores own the targets in turn.
func newSimulation(seed uint64, cores, targets, slots int, meanServiceTime, networkDelay time.Duration) *simulation {
	w := &simulation{
		Queue: event.New(time.Unix(1000, 0)), rand: rand.New(rand.NewPCG(seed, 2)), networkDelay: networkDelay, meanServiceTime: meanServiceTime, slots: slots,
		cores: map[string]*Core{}, dead: map[string]bool{}, running: map[string]int{}, slowdown: map[string]float64{},
		endings: map[uint64]int{}, sent: map[uint64]int{}, owners: map[string]string{}, permitUses: map[Key]permitUse{}, suspended: map[string]bool{},
		latencies: hdrhistogram.New(1, maxLatency, 3), waits: hdrhistogram.New(1, maxLatency, 3),
	}
	w.measureFrom = w.Now()
	for i := range cores {
		id := fmt.Sprintf("e%d", i)
		w.cores[id] = New(Options{Self: id, Seed: seed + uint64(i), MaxWait: 2 * time.Second})
	}
	for i := range targets {
		// Cores and targets alternate among three zones, so the owner is in the zone of its target.
		id, addr := fmt.Sprintf("e%d", i%cores), fmt.Sprintf("t%02d", i)
		w.owners[addr] = id
		w.execute(id, w.cores[id].AddTarget(w.Now(), addr, slots, nil, 0))
	}
	for id, c := range w.cores {
		for other := range w.cores {
			if other != id {
				c.AddPeer(other, zoneOf(id) == zoneOf(other))
			}
		}
	}
	for i := range cores {
		w.tick(fmt.Sprintf("e%d", i))
		w.heartbeat(fmt.Sprintf("e%d", i))
	}
	return w
}

// tick calls the core's Tick periodically.
func (w *simulation) tick(id string) {
	w.AfterFunc(tickInterval, func() {
		if !w.dead[id] {
			w.execute(id, w.cores[id].Tick(w.Now()))
			w.tick(id)
		}
	})
}

// heartbeat sends the core's load to all others periodically.
func (w *simulation) heartbeat(id string) {
	w.AfterFunc(heartbeatInterval, func() {
		if w.dead[id] {
			return
		}
		free, waiting, longestWait := w.cores[id].Load(w.Now())
		for i := range len(w.cores) {
			other := fmt.Sprintf("e%d", i)
			if other != id {
				w.deliver(id, other, func(c *Core) []Action { return c.HandleHeartbeat(w.Now(), id, free, waiting, longestWait) })
			}
		}
		w.heartbeat(id)
	})
}

// deliver delivers a message to a core after the network delay.
func (w *simulation) deliver(from, id string, f func(*Core) []Action) {
	w.AfterFunc(w.delay(from, id), func() {
		if !w.dead[id] {
			w.execute(id, f(w.cores[id]))
		}
	})
}

// freeSlots returns the free slots that a core reports.
func (w *simulation) freeSlots(id string) int {
	n, _, _ := w.cores[id].Load(w.Now())
	return n
}

// execute executes the actions of a core.
func (w *simulation) execute(id string, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			w.send(id, a)
		case Refuse:
			w.refusals++
			if w.Now().Equal(a.Call.Arrived) {
				w.immediateRefusals++
			}
			w.endings[a.Call.ID]++
			if w.Now().After(a.Call.Deadline) {
				w.lateRefusals++
			}
		case Borrow:
			w.borrow(id, a)
		case Lend:
			w.deliver(id, a.Peer, func(c *Core) []Action { return c.HandleGrant(w.Now(), id, 0, a.Permits, w.freeSlots(id)) })
		case Return:
			w.deliver(id, a.Peer, func(c *Core) []Action { return c.HandleReturn(w.Now(), a.Key, a.Target, a.Result) })
		}
	}
}

// borrow asks a peer of the core for slots and delivers the reply.
func (w *simulation) borrow(id string, a Borrow) {
	w.AfterFunc(w.delay(id, a.Peer), func() {
		if w.dead[a.Peer] {
			w.deliver(a.Peer, id, func(c *Core) []Action { return c.HandleBorrowFailure(w.Now(), a.Peer, a.Slots) })
			return
		}
		permits, actions := w.cores[a.Peer].HandleBorrow(w.Now(), id, a.Slots, a.LongestWait)
		free := w.freeSlots(a.Peer)
		w.execute(a.Peer, actions)
		w.deliver(a.Peer, id, func(c *Core) []Action { return c.HandleGrant(w.Now(), a.Peer, a.Slots, permits, free) })
	})
}

// serviceTime draws the time that a request runs at the target.
func (w *simulation) serviceTime(addr string) time.Duration {
	factor := w.slowdown[addr]
	if factor == 0 {
		factor = 1
	}
	return time.Duration(w.rand.ExpFloat64() * factor * float64(w.meanServiceTime))
}

// send runs a core's request at its target.
func (w *simulation) send(id string, a Send) {
	w.sent[a.Call.ID]++
	if w.suspended[id] {
		w.sentWhileSuspended++
	}
	if w.Now().After(w.measureFrom) {
		_ = w.waits.RecordValue(max(1, int64(w.Now().Sub(a.Call.Arrived))))
	}
	sentAt := w.Now()
	addr := a.Permit.Target
	w.permitUses[a.Permit.Key] = permitUse{id, addr, a.Permit.Until}
	if w.rand.Float64() < w.hangShare {
		w.sendHanging(id, a)
		return
	}
	w.AfterFunc(w.delay(id, addr), func() {
		if w.running[addr] >= w.slots {
			w.overSlots++
		}
		w.running[addr]++
		w.AfterFunc(w.serviceTime(addr), func() {
			w.running[addr]--
			w.AfterFunc(w.delay(addr, id), func() { w.finish(id, a, sentAt) })
		})
	})
}

// sendHanging runs a request that hangs at its target until the target gives it up, after its
// sender has done so.
func (w *simulation) sendHanging(id string, a Send) {
	addr := a.Permit.Target
	w.AfterFunc(w.delay(id, addr), func() {
		if w.running[addr] >= w.slots {
			w.overSlots++
		}
		w.running[addr]++
		w.AfterFunc(hangTime, func() { w.running[addr]-- })
	})
	w.AfterFunc(time.Second, func() {
		delete(w.permitUses, a.Permit.Key)
		if w.dead[id] {
			return
		}
		w.endings[a.Call.ID]++
		w.execute(id, w.cores[id].HandleResult(w.Now(), a.Permit, Result{Outcome: OutcomeLost, Load: -1}))
	})
}

// hangTime is how long a hanging request runs at its target.
const hangTime = 4 * time.Second

// finish records the response to a core's request.
func (w *simulation) finish(id string, a Send, sentAt time.Time) {
	delete(w.permitUses, a.Permit.Key)
	if w.dead[id] {
		return
	}
	w.endings[a.Call.ID]++
	if a.Call.Arrived.After(w.measureFrom) {
		_ = w.latencies.RecordValue(int64(w.Now().Sub(a.Call.Arrived)))
	}
	w.execute(id, w.cores[id].HandleResult(w.Now(), a.Permit, Result{Outcome: OutcomeOK, Took: w.Now().Sub(sentAt), Load: -1}))
}

// generateCalls makes calls arrive at random live cores, at a rate per second, until the given time.
func (w *simulation) generateCalls(rate float64, until time.Time, timeout time.Duration) {
	var next func(id uint64)
	next = func(id uint64) {
		w.AfterFunc(time.Duration(w.rand.ExpFloat64()/rate*float64(time.Second)), func() {
			if w.Now().After(until) {
				return
			}
			core := fmt.Sprintf("e%d", w.rand.IntN(len(w.cores)))
			for w.dead[core] {
				core = fmt.Sprintf("e%d", w.rand.IntN(len(w.cores)))
			}
			call := Call{ID: id, Team: "t", Arrived: w.Now(), Deadline: w.Now().Add(timeout)}
			w.execute(core, w.cores[core].HandleCall(w.Now(), call))
			next(id + 1)
		})
	}
	next(1)
}

// killCore ends a core. When its lease has expired the others take over its targets. Only the
// targets know which of its requests are still running.
func (w *simulation) killCore(id string) {
	w.dead[id] = true
	for i := range len(w.cores) {
		if other := fmt.Sprintf("e%d", i); other != id {
			w.cores[other].RemovePeer(id)
		}
	}
	w.AfterFunc(leaseTime, func() {
		coreNumber := 0
		for n := range w.targetsOf(id) {
			for w.dead[fmt.Sprintf("e%d", coreNumber%len(w.cores))] {
				coreNumber++
			}
			to := fmt.Sprintf("e%d", coreNumber%len(w.cores))
			coreNumber++
			addr := fmt.Sprintf("t%02d", n)
			w.owners[addr] = to
			w.execute(to, w.cores[to].AddTarget(w.Now(), addr, w.slots, w.outstanding(addr), w.slots))
			w.probeTarget(to, addr)
		}
	})
}

// suspend suspends a core for a time.
func (w *simulation) suspend(id string, span time.Duration) {
	if w.dead[id] || w.suspended[id] {
		return
	}
	w.suspended[id] = true
	w.execute(id, w.cores[id].SetOwnershipValid(w.Now(), false))
	w.execute(id, w.cores[id].SetSuspended(w.Now(), true))
	w.AfterFunc(span, func() {
		if w.dead[id] {
			return
		}
		delete(w.suspended, id)
		w.execute(id, w.cores[id].SetOwnershipValid(w.Now(), true))
		w.execute(id, w.cores[id].SetSuspended(w.Now(), false))
	})
}

// leaseTime is the time from the end of a core until others take over its targets.
const leaseTime = 3 * time.Second

// outstanding returns the permits of a target that live cores use.
func (w *simulation) outstanding(addr string) []OutstandingPermit {
	var permits []OutstandingPermit
	for k, u := range w.permitUses {
		if u.target == addr && !w.dead[u.user] {
			permits = append(permits, OutstandingPermit{k, u.user, u.expires.Sub(w.Now())})
		}
	}
	return permits
}

// probeTarget reports the target's load to its owner periodically while the core owns it.
func (w *simulation) probeTarget(id, addr string) {
	w.AfterFunc(50*time.Millisecond, func() {
		if w.dead[id] || w.owners[addr] != id {
			return
		}
		w.execute(id, w.cores[id].HandleProbe(w.Now(), addr, true, w.running[addr], false))
		w.probeTarget(id, addr)
	})
}

// moveTarget hands a target over from its owner to another core, as at a planned change.
func (w *simulation) moveTarget(addr, to string) {
	from := w.owners[addr]
	if from == to || w.dead[from] || w.dead[to] || w.cores[from].targets[addr] == nil {
		return // the next owner waits until the former owner has taken the target over itself
	}
	w.owners[addr] = to
	permits, orphans := w.cores[from].RemoveTarget(w.Now(), addr, to)
	w.deliver(from, to, func(c *Core) []Action { return c.AddTarget(w.Now(), addr, w.slots, permits, orphans) })
}

// targetsOf yields the numbers of the targets that a core owns, in order.
func (w *simulation) targetsOf(id string) func(func(int) bool) {
	return func(yield func(int) bool) {
		for n := range len(w.owners) {
			if w.owners[fmt.Sprintf("t%02d", n)] == id && !yield(n) {
				return
			}
		}
	}
}

// idealQueue returns the latencies of a single queue for all slots that learns at once when a slot is
// free.
func idealQueue(seed uint64, targets, slots int, rate float64, meanServiceTime, networkDelay, span time.Duration, slowdown map[string]float64) *hdrhistogram.Histogram {
	w := newSimulation(seed, 0, 0, slots, meanServiceTime, networkDelay)
	w.slowdown = slowdown
	type slot struct{ target string }
	var free []slot
	var waiting []time.Time
	for i := range targets * slots {
		free = append(free, slot{fmt.Sprintf("t%02d", i%targets)})
	}
	var start func(arrived time.Time)
	start = func(arrived time.Time) {
		index := w.rand.IntN(len(free))
		s := free[index]
		free[index] = free[len(free)-1]
		free = free[:len(free)-1]
		w.AfterFunc(w.serviceTime(s.target), func() {
			_ = w.latencies.RecordValue(int64(w.Now().Sub(arrived) + 2*w.delay("e0", s.target)))
			free = append(free, s)
			if len(waiting) > 0 {
				next := waiting[0]
				waiting = waiting[1:]
				start(next)
			}
		})
	}
	w.generateArrivals(rate, span, func() {
		if len(free) == 0 {
			waiting = append(waiting, w.Now())
			return
		}
		start(w.Now())
	})
	return w.latencies
}

// twoChoices returns the latencies when each call is sent to the less loaded of two random
// targets, by reports that are up to a heartbeat old. Requests beyond the slots queue at the target.
func twoChoices(seed uint64, cores, targets, slots int, rate float64, meanServiceTime, networkDelay, span time.Duration, slowdown map[string]float64) *hdrhistogram.Histogram {
	w := newSimulation(seed, 0, 0, slots, meanServiceTime, networkDelay)
	w.slowdown = slowdown
	load := make([]int, targets)
	queues := make([][]time.Time, targets)
	reported := make([]int, targets)
	sentSince := make([][]int, cores)
	for i := range sentSince {
		sentSince[i] = make([]int, targets)
	}
	var report func()
	report = func() {
		copy(reported, load)
		for i := range sentSince {
			clear(sentSince[i])
		}
		w.AfterFunc(heartbeatInterval, report)
	}
	report()
	var start func(t int, arrived time.Time)
	start = func(t int, arrived time.Time) {
		w.AfterFunc(w.serviceTime(fmt.Sprintf("t%02d", t)), func() {
			_ = w.latencies.RecordValue(int64(w.Now().Sub(arrived) + w.delay("e0", fmt.Sprintf("t%02d", t))))
			load[t]--
			if len(queues[t]) > 0 {
				next := queues[t][0]
				queues[t] = queues[t][1:]
				start(t, next)
			}
		})
	}
	w.generateArrivals(rate, span, func() {
		core, arrived := w.rand.IntN(cores), w.Now()
		a, b := w.rand.IntN(targets), w.rand.IntN(targets)
		if reported[b]+sentSince[core][b] < reported[a]+sentSince[core][a] {
			a = b
		}
		sentSince[core][a]++
		w.AfterFunc(w.delay("e0", fmt.Sprintf("t%02d", a)), func() {
			load[a]++
			if load[a] > slots {
				queues[a] = append(queues[a], arrived)
				return
			}
			start(a, arrived)
		})
	})
	return w.latencies
}

// generateArrivals calls arrive for each arrival, at a rate per second for the span, and runs the
// simulation.
func (w *simulation) generateArrivals(rate float64, span time.Duration, arrive func()) {
	end := w.Now().Add(span)
	var next func()
	next = func() {
		w.AfterFunc(time.Duration(w.rand.ExpFloat64()/rate*float64(time.Second)), func() {
			if w.Now().Before(end) {
				arrive()
				next()
			}
		})
	}
	next()
	w.RunUntil(end.Add(time.Second))
}

// BenchmarkTail measures latencies in virtual time, also in relation to one ideal queue and to
// two random choices. The results don't depend on the machine. The first part of a case's name
// is a deployment: association has a network delay of 0.5 ms between failure domains and
// wildheart one of 1.5 ms. In the slow cases every tenth target is five times slower than the
// others, and in the kill cases one core dies halfway.
func BenchmarkTail(b *testing.B) {
	const (
		cores, targets, slots = 9, 50, 8
		span                  = 60 * time.Second
	)
	for _, tc := range []struct {
		name     string
		mean     time.Duration
		hop      time.Duration
		load     float64
		slowdown bool
		kill     bool
	}{
		{"association/plain/50", 100 * time.Millisecond, 500 * time.Microsecond, 0.50, false, false},
		{"association/plain/80", 100 * time.Millisecond, 500 * time.Microsecond, 0.80, false, false},
		{"association/plain/95", 100 * time.Millisecond, 500 * time.Microsecond, 0.95, false, false},
		{"association/short/80", 20 * time.Millisecond, 500 * time.Microsecond, 0.80, false, false},
		{"association/short/95", 20 * time.Millisecond, 500 * time.Microsecond, 0.95, false, false},
		{"association/slow/50", 100 * time.Millisecond, 500 * time.Microsecond, 0.50, true, false},
		{"association/slow/65", 100 * time.Millisecond, 500 * time.Microsecond, 0.65, true, false},
		{"association/slow/80", 100 * time.Millisecond, 500 * time.Microsecond, 0.80, true, false},
		{"association/kill/50", 100 * time.Millisecond, 500 * time.Microsecond, 0.50, false, true},
		{"association/kill/80", 100 * time.Millisecond, 500 * time.Microsecond, 0.80, false, true},
		{"association/kill/95", 100 * time.Millisecond, 500 * time.Microsecond, 0.95, false, true},
		{"wildheart/plain/50", 100 * time.Millisecond, 1500 * time.Microsecond, 0.50, false, false},
		{"wildheart/plain/80", 100 * time.Millisecond, 1500 * time.Microsecond, 0.80, false, false},
		{"wildheart/plain/95", 100 * time.Millisecond, 1500 * time.Microsecond, 0.95, false, false},
	} {
		b.Run(tc.name, func(b *testing.B) {
			for range b.N {
				rate := tc.load * targets * slots / tc.mean.Seconds()
				slow := map[string]float64{}
				if tc.slowdown {
					for i := 0; i < targets; i += 10 {
						slow[fmt.Sprintf("t%02d", i)] = 5
					}
				}
				w := newSimulation(1, cores, targets, slots, tc.mean, tc.hop)
				w.slowdown = slow
				w.generateCalls(rate, w.Now().Add(span), 10*time.Second)
				if tc.kill {
					w.AfterFunc(span/2, func() { w.killCore("e4") })
				}
				w.RunUntil(w.Now().Add(span + time.Second))
				ideal := idealQueue(1, targets, slots, rate, tc.mean, tc.hop, span, slow)
				random := twoChoices(1, cores, targets, slots, rate, tc.mean, tc.hop, span, slow)
				for _, at := range []float64{50, 99, 99.9} {
					own := float64(w.latencies.ValueAtPercentile(at))
					b.ReportMetric(own/1e6, fmt.Sprintf("p%v-ms", at))
					b.ReportMetric(own/float64(ideal.ValueAtPercentile(at)), fmt.Sprintf("p%v/ideal", at))
					b.ReportMetric(own/float64(random.ValueAtPercentile(at)), fmt.Sprintf("p%v/two", at))
				}
				b.ReportMetric(float64(w.refusals), "refused")
				b.ReportMetric(float64(w.overSlots), "over")
			}
		})
	}
}
