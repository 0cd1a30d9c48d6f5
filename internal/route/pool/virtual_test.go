package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bramleysail.example/bramleysail/internal/fake/event"
)

// world drives several cores in virtual time: events in a heap, a fixed delay for
// each message, targets that count what they are sent.
type world struct {
	event.Queue
	rand   *rand.Rand
	hop    time.Duration
	mean   time.Duration
	slots  int
	cores  map[string]*Core
	dead   map[string]bool
	busy   map[string]int
	slow   map[string]float64
	over   int // requests that reached a target whose slots were all busy
	ended  map[uint64]int
	sent   map[uint64]int
	late   int // refusals given after the call's deadline
	refuse int
	atOnce int // refusals given on arrival
	hist   *hdrhistogram.Histogram
	waits  *hdrhistogram.Histogram
	from   time.Time
	owner  map[string]string // of each target
	using  map[Key]use
	hang   float64 // share of requests that a target never answers

	still    map[string]bool
	unlawful int // requests sent by a core that had to stand still
}

// use is a permit that a core uses.
type use struct {
	by, target string
	until      time.Time
}

// zone returns the failure domain of a core or target; they alternate among three.
func zone(name string) int {
	n := 0
	_, _ = fmt.Sscanf(name[1:], "%d", &n)
	return n % 3
}

// way returns how long a message takes from one core or target to another.
func (w *world) way(a, b string) time.Duration {
	if zone(a) == zone(b) {
		return w.hop / nearer
	}
	return w.hop
}

// nearer is how many times shorter the way within a failure domain is.
const nearer = 10

const (
	maxTrack = int64(time.Minute)
	tickStep = 5 * time.Millisecond
	beatStep = 50 * time.Millisecond
)

func newWorld(seed uint64, cores, targets, slots int, mean, hop time.Duration) *world {
	w := &world{
		Queue: event.New(time.Unix(1000, 0)), rand: rand.New(rand.NewPCG(seed, 2)), hop: hop, mean: mean, slots: slots,
		cores: map[string]*Core{}, dead: map[string]bool{}, busy: map[string]int{}, slow: map[string]float64{},
		ended: map[uint64]int{}, sent: map[uint64]int{}, owner: map[string]string{}, using: map[Key]use{}, still: map[string]bool{},
		hist: hdrhistogram.New(1, maxTrack, 3), waits: hdrhistogram.New(1, maxTrack, 3),
	}
	w.from = w.Now()
	for i := range cores {
		id := fmt.Sprintf("e%d", i)
		w.cores[id] = New(Options{Self: id, Seed: seed + uint64(i), Wait: 2 * time.Second})
	}
	for i := range targets {
		// Cores and targets alternate among three zones, so the owner is near.
		id, addr := fmt.Sprintf("e%d", i%cores), fmt.Sprintf("t%02d", i)
		w.owner[addr] = id
		w.do(id, w.cores[id].Own(w.Now(), addr, slots, nil, 0))
	}
	for id, c := range w.cores {
		for other := range w.cores {
			if other != id {
				c.Meet(other, zone(id) == zone(other))
			}
		}
	}
	for i := range cores {
		w.tick(fmt.Sprintf("e%d", i))
		w.beat(fmt.Sprintf("e%d", i))
	}
	return w
}

func (w *world) tick(id string) {
	w.AfterFunc(tickStep, func() {
		if !w.dead[id] {
			w.do(id, w.cores[id].Tick(w.Now()))
			w.tick(id)
		}
	})
}

func (w *world) beat(id string) {
	w.AfterFunc(beatStep, func() {
		if w.dead[id] {
			return
		}
		free, want, wait := w.cores[id].Load(w.Now())
		for i := range len(w.cores) {
			other := fmt.Sprintf("e%d", i)
			if other != id {
				w.to(id, other, func(c *Core) []Action { return c.Heard(w.Now(), id, free, want, wait) })
			}
		}
		w.beat(id)
	})
}

// to delivers a message to a core after one hop.
func (w *world) to(from, id string, f func(*Core) []Action) {
	w.AfterFunc(w.way(from, id), func() {
		if !w.dead[id] {
			w.do(id, f(w.cores[id]))
		}
	})
}

func (w *world) free(id string) int {
	n, _, _ := w.cores[id].Load(w.Now())
	return n
}

func (w *world) do(id string, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			w.send(id, a)
		case Refuse:
			w.refuse++
			if w.Now().Equal(a.Call.Came) {
				w.atOnce++
			}
			w.ended[a.Call.ID]++
			if w.Now().After(a.Call.Until) {
				w.late++
			}
		case Ask:
			w.ask(id, a)
		case Give:
			w.to(id, a.Peer, func(c *Core) []Action { return c.Granted(w.Now(), id, 0, a.Permits, w.free(id)) })
		case Free:
			w.to(id, a.Peer, func(c *Core) []Action { return c.Freed(w.Now(), a.Key, a.Target, a.Result) })
		}
	}
}

func (w *world) ask(id string, a Ask) {
	w.AfterFunc(w.way(id, a.Peer), func() {
		if w.dead[a.Peer] {
			w.to(a.Peer, id, func(c *Core) []Action { return c.AskFailed(w.Now(), a.Peer, a.N) })
			return
		}
		got, more := w.cores[a.Peer].Asked(w.Now(), id, a.N, a.Wait)
		free := w.free(a.Peer)
		w.do(a.Peer, more)
		w.to(a.Peer, id, func(c *Core) []Action { return c.Granted(w.Now(), a.Peer, a.N, got, free) })
	})
}

func (w *world) service(addr string) time.Duration {
	f := w.slow[addr]
	if f == 0 {
		f = 1
	}
	return time.Duration(w.rand.ExpFloat64() * f * float64(w.mean))
}

func (w *world) send(id string, a Send) {
	w.sent[a.Call.ID]++
	if w.still[id] {
		w.unlawful++
	}
	if w.Now().After(w.from) {
		_ = w.waits.RecordValue(max(1, int64(w.Now().Sub(a.Call.Came))))
	}
	begun := w.Now()
	addr := a.Permit.Target
	w.using[a.Permit.Key] = use{id, addr, a.Permit.Until}
	if w.rand.Float64() < w.hang {
		w.lose(id, a)
		return
	}
	w.AfterFunc(w.way(id, addr), func() {
		if w.busy[addr] >= w.slots {
			w.over++
		}
		w.busy[addr]++
		w.AfterFunc(w.service(addr), func() {
			w.busy[addr]--
			w.AfterFunc(w.way(addr, id), func() { w.done(id, a, begun) })
		})
	})
}

// lose lets a request hang at its target until the target gives it up, which is later
// than its sender does.
func (w *world) lose(id string, a Send) {
	addr := a.Permit.Target
	w.AfterFunc(w.way(id, addr), func() {
		if w.busy[addr] >= w.slots {
			w.over++
		}
		w.busy[addr]++
		w.AfterFunc(hangFor, func() { w.busy[addr]-- })
	})
	w.AfterFunc(time.Second, func() {
		delete(w.using, a.Permit.Key)
		if w.dead[id] {
			return
		}
		w.ended[a.Call.ID]++
		w.do(id, w.cores[id].Done(w.Now(), a.Permit, Result{Outcome: OutcomeLost, Load: -1}))
	})
}

const hangFor = 4 * time.Second

func (w *world) done(id string, a Send, begun time.Time) {
	delete(w.using, a.Permit.Key)
	if w.dead[id] {
		return
	}
	w.ended[a.Call.ID]++
	if a.Call.Came.After(w.from) {
		_ = w.hist.RecordValue(int64(w.Now().Sub(a.Call.Came)))
	}
	w.do(id, w.cores[id].Done(w.Now(), a.Permit, Result{Outcome: OutcomeOK, Took: w.Now().Sub(begun), Load: -1}))
}

// load makes calls arrive at random cores at the rate until the time.
func (w *world) load(rate float64, until time.Time, patience time.Duration) {
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
			call := Call{ID: id, Team: "t", Came: w.Now(), Until: w.Now().Add(patience)}
			w.do(core, w.cores[core].Arrive(w.Now(), call))
			next(id + 1)
		})
	}
	next(1)
}

// kill ends a core; a lease later the others share its targets. Of what it had in
// flight nobody knows but the target.
func (w *world) kill(id string) {
	w.dead[id] = true
	for i := range len(w.cores) {
		if other := fmt.Sprintf("e%d", i); other != id {
			w.cores[other].Gone(id)
		}
	}
	w.AfterFunc(leaseTime, func() {
		at := 0
		for n := range w.slotsOf(id) {
			for w.dead[fmt.Sprintf("e%d", at%len(w.cores))] {
				at++
			}
			to := fmt.Sprintf("e%d", at%len(w.cores))
			at++
			addr := fmt.Sprintf("t%02d", n)
			w.owner[addr] = to
			w.do(to, w.cores[to].Own(w.Now(), addr, w.slots, w.held(addr), w.slots))
			w.probe(to, addr)
		}
	})
}

// stand makes a core stand still for a time.
func (w *world) stand(id string, span time.Duration) {
	if w.dead[id] || w.still[id] {
		return
	}
	w.still[id] = true
	w.do(id, w.cores[id].SetLawful(w.Now(), false))
	w.do(id, w.cores[id].SetStill(w.Now(), true))
	w.AfterFunc(span, func() {
		if w.dead[id] {
			return
		}
		delete(w.still, id)
		w.do(id, w.cores[id].SetLawful(w.Now(), true))
		w.do(id, w.cores[id].SetStill(w.Now(), false))
	})
}

const leaseTime = 3 * time.Second

// held names the permits of a target that live cores use.
func (w *world) held(addr string) []Held {
	var out []Held
	for k, u := range w.using {
		if u.target == addr && !w.dead[u.by] {
			out = append(out, Held{k, u.by, u.until.Sub(w.Now())})
		}
	}
	return out
}

// probe asks a target for its load now and again while its owner has untracked requests there.
func (w *world) probe(id, addr string) {
	w.AfterFunc(50*time.Millisecond, func() {
		if w.dead[id] || w.owner[addr] != id {
			return
		}
		w.do(id, w.cores[id].Probed(w.Now(), addr, true, w.busy[addr], false))
		w.probe(id, addr)
	})
}

// move hands a target from its owner to another core, as at a planned change.
func (w *world) move(addr, to string) {
	from := w.owner[addr]
	if from == to || w.dead[from] || w.dead[to] || w.cores[from].targets[addr] == nil {
		return // a claim waits until the holder before has taken the target over itself
	}
	w.owner[addr] = to
	held, ghosts := w.cores[from].Disown(w.Now(), addr, to)
	w.to(from, to, func(c *Core) []Action { return c.Own(w.Now(), addr, w.slots, held, ghosts) })
}

// slotsOf yields the numbers of the targets that a core owns, in order.
func (w *world) slotsOf(id string) func(func(int) bool) {
	return func(yield func(int) bool) {
		for n := range len(w.owner) {
			if w.owner[fmt.Sprintf("t%02d", n)] == id && !yield(n) {
				return
			}
		}
	}
}

// ideal runs one queue before all slots, which knows at once when a slot is free.
func ideal(seed uint64, targets, slots int, rate float64, mean, hop, span time.Duration, slow map[string]float64) *hdrhistogram.Histogram {
	w := newWorld(seed, 0, 0, slots, mean, hop)
	w.slow = slow
	type slot struct{ target string }
	var free []slot
	var waiting []time.Time
	for i := range targets * slots {
		free = append(free, slot{fmt.Sprintf("t%02d", i%targets)})
	}
	var start func(came time.Time)
	start = func(came time.Time) {
		at := w.rand.IntN(len(free))
		s := free[at]
		free[at] = free[len(free)-1]
		free = free[:len(free)-1]
		w.AfterFunc(w.service(s.target), func() {
			_ = w.hist.RecordValue(int64(w.Now().Sub(came) + 2*w.way("e0", s.target)))
			free = append(free, s)
			if len(waiting) > 0 {
				next := waiting[0]
				waiting = waiting[1:]
				start(next)
			}
		})
	}
	w.arrivals(rate, span, func() {
		if len(free) == 0 {
			waiting = append(waiting, w.Now())
			return
		}
		start(w.Now())
	})
	return w.hist
}

// twoChoices sends each call to the less loaded of two random targets by reports
// that are up to a heartbeat old; what the slots can't take queues at the target.
func twoChoices(seed uint64, cores, targets, slots int, rate float64, mean, hop, span time.Duration, slow map[string]float64) *hdrhistogram.Histogram {
	w := newWorld(seed, 0, 0, slots, mean, hop)
	w.slow = slow
	load := make([]int, targets)
	lines := make([][]time.Time, targets)
	known := make([]int, targets)
	mine := make([][]int, cores)
	for i := range mine {
		mine[i] = make([]int, targets)
	}
	var report func()
	report = func() {
		copy(known, load)
		for i := range mine {
			clear(mine[i])
		}
		w.AfterFunc(beatStep, report)
	}
	report()
	var start func(t int, came time.Time)
	start = func(t int, came time.Time) {
		w.AfterFunc(w.service(fmt.Sprintf("t%02d", t)), func() {
			_ = w.hist.RecordValue(int64(w.Now().Sub(came) + w.way("e0", fmt.Sprintf("t%02d", t))))
			load[t]--
			if len(lines[t]) > 0 {
				next := lines[t][0]
				lines[t] = lines[t][1:]
				start(t, next)
			}
		})
	}
	w.arrivals(rate, span, func() {
		core, came := w.rand.IntN(cores), w.Now()
		a, b := w.rand.IntN(targets), w.rand.IntN(targets)
		if known[b]+mine[core][b] < known[a]+mine[core][a] {
			a = b
		}
		mine[core][a]++
		w.AfterFunc(w.way("e0", fmt.Sprintf("t%02d", a)), func() {
			load[a]++
			if load[a] > slots {
				lines[a] = append(lines[a], came)
				return
			}
			start(a, came)
		})
	})
	return w.hist
}

func (w *world) arrivals(rate float64, span time.Duration, do func()) {
	end := w.Now().Add(span)
	var next func()
	next = func() {
		w.AfterFunc(time.Duration(w.rand.ExpFloat64()/rate*float64(time.Second)), func() {
			if w.Now().Before(end) {
				do()
				next()
			}
		})
	}
	next()
	w.RunUntil(end.Add(time.Second))
}

// BenchmarkTail measures answer times against one ideal queue and two random choices
// in virtual time; the ratios don't depend on the machine.
func BenchmarkTail(b *testing.B) {
	const (
		cores, targets, slots = 9, 50, 8
		span                  = 60 * time.Second
	)
	for _, tc := range []struct {
		name string
		mean time.Duration
		hop  time.Duration
		load float64
		slow bool
		kill bool
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
				if tc.slow {
					for i := 0; i < targets; i += 10 {
						slow[fmt.Sprintf("t%02d", i)] = 5
					}
				}
				w := newWorld(1, cores, targets, slots, tc.mean, tc.hop)
				w.slow = slow
				w.load(rate, w.Now().Add(span), 10*time.Second)
				if tc.kill {
					w.AfterFunc(span/2, func() { w.kill("e4") })
				}
				w.RunUntil(w.Now().Add(span + time.Second))
				q := ideal(1, targets, slots, rate, tc.mean, tc.hop, span, slow)
				p := twoChoices(1, cores, targets, slots, rate, tc.mean, tc.hop, span, slow)
				for _, at := range []float64{50, 99, 99.9} {
					own := float64(w.hist.ValueAtPercentile(at))
					b.ReportMetric(own/1e6, fmt.Sprintf("p%v-ms", at))
					b.ReportMetric(own/float64(q.ValueAtPercentile(at)), fmt.Sprintf("p%v/ideal", at))
					b.ReportMetric(own/float64(p.ValueAtPercentile(at)), fmt.Sprintf("p%v/two", at))
				}
				b.ReportMetric(float64(w.refuse), "refused")
				b.ReportMetric(float64(w.over), "over")
			}
		})
	}
}
