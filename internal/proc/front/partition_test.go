package front

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/base/conf"
	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
	"bramleysail.example/bramleysail/internal/fake/codec"
	"bramleysail.example/bramleysail/internal/fake/fleet"
	"bramleysail.example/bramleysail/internal/fake/txkv"
)

const (
	partitionHosts   = 9
	partitionWorkers = 18
	lastingTasks     = 12
)

// partitionCluster is a set of hosts, workers and a store in three failure domains that may be cut off from each other, for
// use in a synctest bubble.
type partitionCluster struct {
	t       *testing.T
	store   *txkv.Service
	workers *fleet.Fleet

	mu     sync.Mutex
	hosts  []*partitionHost
	region map[string]int    // region of each failure domain and of "store"; domains of different regions don't reach each other
	modes  map[int]txkv.Mode // how the store treats each host
}

// partitionHost is a process in one life.
type partitionHost struct {
	*Process
	zone   string
	frozen chan struct{} // closed when the process thaws; nil: it isn't frozen
	dead   bool
}

// newPartitionCluster starts a cluster on which lasting tasks run, and short ones come all the time.
func newPartitionCluster(t *testing.T) *partitionCluster {
	c := &partitionCluster{t: t, store: &txkv.Service{}, region: map[string]int{}, modes: map[int]txkv.Mode{}}
	c.workers = fleet.New(partitionWorkers, wire.Size{CPU: 16000, Mem: 64000}, rand.New(rand.NewPCG(1, 1)), func(task string) (time.Duration, sched.End) {
		if strings.HasPrefix(task, "lasting") {
			return time.Hour, sched.EndDone
		}
		return time.Duration(300+len(task)*37%900) * time.Millisecond, sched.EndDone
	})
	if err := codec.WriteConfig(c.store, sched.Config{Version: 1, Queues: []sched.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Tries: 3, Stretch: 2, Aim: time.Second}}}); err != nil {
		t.Fatal(err)
	}
	if err := codec.WriteMembers(c.store, c.workers.Members()); err != nil {
		t.Fatal(err)
	}
	c.hosts = make([]*partitionHost, partitionHosts)
	for i := range c.hosts {
		c.start(i)
	}
	time.Sleep(3 * time.Second)
	c.submit("lasting", sched.Step{Count: lastingTasks, Size: wire.Size{CPU: 4000, Mem: 1000}, LongRunning: true, MaxPerWorker: 1})
	c.submit("chain", partitionChain(60)...)
	time.Sleep(2 * time.Second)
	if n := c.runningLasting(); n != lastingTasks {
		t.Fatalf("%d lasting tasks run before the partition, want %d", n, lastingTasks)
	}
	return c
}

// partitionChain returns n steps of some short tasks, each of which depends on the one before.
func partitionChain(n int) []sched.Step {
	steps := make([]sched.Step, n)
	for i := range steps {
		steps[i] = sched.Step{Count: 4, Size: wire.Size{CPU: 500, Mem: 100}, Estimate: time.Second}
		if i > 0 {
			steps[i].DependsOn = []int{i - 1}
		}
	}
	return steps
}

// hostAddr is the address of a host's peer interface.
func hostAddr(i int) string { return fmt.Sprintf("host%d", i) }

// start starts a host's process.
func (c *partitionCluster) start(i int) {
	zone := fmt.Sprintf("z%d", i%3)
	client := c.store.Client(func() txkv.Mode {
		if !c.reaches(zone, "store") {
			return txkv.ModeSilent
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.modes[i]
	})
	p := newProcess(conf.HostSettings{
		Name: hostAddr(i), Zone: zone,
		Store: conf.HostStore{MinLeaseMillis: 1000},
		Bound: conf.Bound{MaxWorkerLeaseMillis: 6000, MaxStopMillis: 200, GraceSeconds: 3, JobRetentionSeconds: 60},
	}, Adapters{
		Store: client, WorkerClient: c.workers.Client(func(w sched.Member) bool { return !c.reaches(zone, w.Zone) }), Codec: codec.New(),
	}, logr.Discard(), tally.NoopScope, hostAddr(i))
	p.monitor.peers = &partitionPeers{c, zone}
	c.mu.Lock()
	c.hosts[i] = &partitionHost{Process: p, zone: zone}
	c.mu.Unlock()
	p.runElection(hostAddr(i))
}

// kill ends a host's process as if its machine had lost power.
func (c *partitionCluster) kill(i int) {
	h := c.host(i)
	c.mu.Lock()
	h.dead = true
	c.mu.Unlock()
	h.cancel()
	h.wg.Wait()
}

// host returns the process of a host in its present life.
func (c *partitionCluster) host(i int) *partitionHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[i]
}

// restart ends a host's process and starts it again.
func (c *partitionCluster) restart(i int) {
	c.kill(i)
	c.start(i)
}

// stop ends all processes.
func (c *partitionCluster) stop() {
	for i := range c.hosts {
		if !c.host(i).dead {
			c.kill(i)
		}
	}
}

// cut moves failure domains, or "store", to a region of their own.
func (c *partitionCluster) cut(zones ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.region = map[string]int{}
	for _, zone := range zones {
		c.region[zone] = 1
	}
}

// heal ends all partitions.
func (c *partitionCluster) heal() { c.cut() }

// reaches reports whether two failure domains reach each other.
func (c *partitionCluster) reaches(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.region[a] == c.region[b]
}

// serve makes the store silent for all hosts but the given ones.
func (c *partitionCluster) serve(hosts ...int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.hosts {
		c.modes[i] = txkv.ModeSilent
	}
	for _, i := range hosts {
		delete(c.modes, i)
	}
}

// serveAll makes the store serve all hosts.
func (c *partitionCluster) serveAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.modes)
}

// setFrozen freezes or thaws a host's answers to its peers.
func (c *partitionCluster) setFrozen(i int, frozen bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[i]
	if frozen {
		h.frozen = make(chan struct{})
	} else {
		close(h.frozen)
		h.frozen = nil
	}
}

// holder returns the number of the host that holds the newest term.
func (c *partitionCluster) holder() int {
	best, newest := -1, int64(-1)
	for i := range c.hosts {
		if t := c.host(i).tenure.Load(); t != nil && !c.host(i).dead && t.Term() > newest {
			best, newest = i, t.Term()
		}
	}
	return best
}

// others returns the names of the failure domains other than that of host i, those of hosts of the same domain, and those
// of the others.
func (c *partitionCluster) others(i int) (zones []string, sameZone, otherZones []int) {
	for k := range 3 {
		if k != i%3 {
			zones = append(zones, fmt.Sprintf("z%d", k))
		}
	}
	for k := range c.hosts {
		switch {
		case k == i:
		case k%3 == i%3:
			sameZone = append(sameZone, k)
		default:
			otherZones = append(otherZones, k)
		}
	}
	return zones, sameZone, otherZones
}

// submit submits a job to the holder.
func (c *partitionCluster) submit(id string, steps ...sched.Step) {
	c.t.Helper()
	job, err := json.Marshal(sched.Job{Spec: "x", Steps: steps})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if r := c.host(0).forwarder.Handle(ctx, drive.Request{Verb: drive.VerbSubmit, Host: "h", Path: "/q/" + id, Job: job}); r.Result != drive.ResultDone && c.holder() == 0 {
		c.t.Fatalf("submit %s: %+v", id, r)
	}
	holder := c.host(c.holder()).forwarder.localHolder()
	if r := holder.Handle(ctx, drive.Request{Verb: drive.VerbSubmit, Host: "h", Path: "/q/" + id, Job: job}); r.Result != drive.ResultDone {
		c.t.Fatalf("submit %s: %+v", id, r)
	}
}

// runningLasting returns how many lasting tasks run.
func (c *partitionCluster) runningLasting() int {
	n := 0
	for _, task := range c.workers.RunningTasks() {
		if strings.HasPrefix(task, "lasting") {
			n++
		}
	}
	return n
}

// partitionPeers is the peerClient of one host. Calls over a partition, and to a frozen or dead process, get no answer.
type partitionPeers struct {
	cluster *partitionCluster
	zone    string // of the caller
}

// errNoPeerAnswer means that a call got no answer.
var errNoPeerAnswer = errors.New("no answer")

// call carries a call to the host at addr and its answer back.
func (p *partitionPeers) call(ctx context.Context, addr string, handle func(*Peer) error) error {
	var i int
	if _, err := fmt.Sscanf(addr, "host%d", &i); err != nil {
		return err
	}
	h := p.cluster.host(i)
	if err := p.pass(ctx, h); err != nil {
		return err
	}
	if err := handle(&Peer{h.forwarder, h.monitor}); err != nil {
		return err
	}
	return p.pass(ctx, h)
}

// pass carries a message between the caller and a host, after a frozen one has thawed.
func (p *partitionPeers) pass(ctx context.Context, h *partitionHost) error {
	if !wait.For(ctx, time.Millisecond) {
		return errNoPeerAnswer
	}
	p.cluster.mu.Lock()
	dead, thawed := h.dead, h.frozen
	p.cluster.mu.Unlock()
	if dead || !p.cluster.reaches(p.zone, h.zone) {
		<-ctx.Done()
		return errNoPeerAnswer
	}
	if thawed != nil {
		select {
		case <-thawed:
		case <-ctx.Done():
			return errNoPeerAnswer
		}
	}
	return nil
}

// Announce implements peerClient.
func (p *partitionPeers) Announce(ctx context.Context, addr string, h Heartbeat) error {
	return p.call(ctx, addr, func(peer *Peer) error { return peer.Announce(h, new(int)) })
}

// Outlook implements peerClient.
func (p *partitionPeers) Outlook(ctx context.Context, addr string) (status FollowerStatus, err error) {
	err = p.call(ctx, addr, func(peer *Peer) error { return peer.Outlook(0, &status) })
	return status, err
}

// Promise implements peerClient.
func (p *partitionPeers) Promise(ctx context.Context, addr string, term int64) (promise Promise, err error) {
	err = p.call(ctx, addr, func(peer *Peer) error { return peer.Promise(term, &promise) })
	return promise, err
}

// Alive implements peerClient.
func (p *partitionPeers) Alive(ctx context.Context, addr string) (alive bool, err error) {
	err = p.call(ctx, addr, func(peer *Peer) error { return peer.Alive(0, &alive) })
	return alive, err
}

// Reset implements peerClient.
func (p *partitionPeers) Reset(string) {}

// Guards against a task that runs twice in a partition: the former holder goes on, backed by its followers, beside a
// successor that has the store.
func TestHolderInPartition(t *testing.T) {
	for _, tt := range []struct {
		name string
		// play plays the partition; the holder is host a. It leaves the network whole.
		play func(c *partitionCluster, a int)
		// mayExpire allows runs that end by an expired lease.
		mayExpire bool
	}{
		{name: "store with the few", play: func(c *partitionCluster, a int) {
			zones, _, _ := c.others(a)
			c.cut(zones[0], "store")
			time.Sleep(30 * time.Second)
			if n := c.runningLasting(); n != lastingTasks {
				c.t.Errorf("%d lasting tasks run in the partition, want %d", n, lastingTasks)
			}
			c.heal()
		}},
		{name: "store with the many", mayExpire: true, play: func(c *partitionCluster, a int) {
			c.cut(c.host(a).zone)
			time.Sleep(15 * time.Second)
			if n := c.runningLasting(); n != lastingTasks {
				c.t.Errorf("%d lasting tasks run in the partition, want %d", n, lastingTasks)
			}
			c.heal()
		}},
		{name: "healed before the claim", play: func(c *partitionCluster, a int) {
			zones, _, _ := c.others(a)
			c.cut(zones[0], "store")
			time.Sleep(800 * time.Millisecond)
			c.heal()
		}},
		{name: "healed after the claim", play: func(c *partitionCluster, a int) {
			zones, _, _ := c.others(a)
			c.cut(zones[0], "store")
			time.Sleep(2500 * time.Millisecond)
			c.heal()
		}},
		{name: "followers restarted in it", mayExpire: true, play: func(c *partitionCluster, a int) {
			zones, same, _ := c.others(a)
			c.cut(zones[0], "store")
			time.Sleep(4 * time.Second)
			c.restart(same[0])
			time.Sleep(15 * time.Second)
			c.heal()
		}},
		{name: "a follower promises and restarts beside the holder", mayExpire: true, play: func(c *partitionCluster, a int) {
			zones, same, _ := c.others(a)
			c.serve(same[0])
			time.Sleep(1800 * time.Millisecond)
			c.serveAll()
			c.cut(zones[0], "store")
			c.restart(same[0])
			time.Sleep(15 * time.Second)
			c.heal()
		}},
		{name: "a second cut along another line", mayExpire: true, play: func(c *partitionCluster, a int) {
			zones, _, _ := c.others(a)
			c.cut(zones[0], "store")
			time.Sleep(10 * time.Second)
			c.cut(zones[1], "store")
			time.Sleep(15 * time.Second)
			c.heal()
		}},
		{name: "followers that have promised join the former holder", mayExpire: true, play: func(c *partitionCluster, a int) {
			c.cut(c.host(a).zone)
			time.Sleep(2200 * time.Millisecond)
			c.cut(c.host(c.holder()).zone, "store")
			time.Sleep(20 * time.Second)
			c.heal()
		}},
		{name: "the successor is cut off too", mayExpire: true, play: func(c *partitionCluster, a int) {
			zones, _, _ := c.others(a)
			c.cut(zones[0], "store")
			time.Sleep(10 * time.Second)
			b := c.holder()
			c.kill(b)
			time.Sleep(15 * time.Second)
			c.start(b)
			c.heal()
		}},
		{name: "an outage for all before it", mayExpire: true, play: func(c *partitionCluster, a int) {
			zones, _, _ := c.others(a)
			c.serve()
			time.Sleep(8 * time.Second)
			c.cut(zones[0], "store")
			c.serveAll()
			time.Sleep(15 * time.Second)
			c.heal()
		}},
		{name: "the store serves one host", mayExpire: true, play: func(c *partitionCluster, a int) {
			_, _, other := c.others(a)
			c.serve(other[0])
			time.Sleep(15 * time.Second)
			c.serveAll()
		}},
		{name: "frozen followers", mayExpire: true, play: func(c *partitionCluster, a int) {
			zones, same, _ := c.others(a)
			c.setFrozen(same[0], true)
			c.cut(zones[0], "store")
			time.Sleep(5 * time.Second)
			c.setFrozen(same[0], false)
			time.Sleep(15 * time.Second)
			c.heal()
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newPartitionCluster(t)
				defer c.stop()
				tt.play(c, c.holder())
				time.Sleep(20 * time.Second)
				if n := c.runningLasting(); n != lastingTasks {
					t.Errorf("%d lasting tasks run in the end, want %d", n, lastingTasks)
				}
				if n := c.workers.ExpiredRuns(); n > 0 && !tt.mayExpire {
					t.Errorf("%d runs ended by an expired lease", n)
				}
				for _, violation := range c.workers.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}

// Guards against tasks that stand still for good once their holder is lost: it can't be released while most of its
// followers are away too, and then by those that have restarted.
func TestHolderLostWithFollowers(t *testing.T) {
	for _, tt := range []struct {
		name      string
		lost      int  // followers of other failure domains that are lost with the holder's failure domain
		restarted bool // they are back after 10 s
		limit     time.Duration
	}{
		{name: "failure domain lost", limit: 8 * time.Second},
		{name: "failure domain and one host lost", lost: 1, limit: 8 * time.Second},
		{name: "most hosts lost for some time", lost: 5, restarted: true, limit: 18 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newPartitionCluster(t)
				defer c.stop()
				a := c.holder()
				_, same, other := c.others(a)
				for _, m := range c.workers.Members() {
					if m.Zone == c.host(a).zone {
						c.workers.Kill(m.ID)
					}
				}
				lost := append(same, other[:tt.lost]...)
				for _, i := range append(lost, a) {
					c.kill(i)
				}
				start := time.Now()
				if tt.restarted {
					time.AfterFunc(10*time.Second, func() {
						for _, i := range lost {
							c.start(i)
						}
					})
				}
				for c.runningLasting() < lastingTasks && time.Since(start) < 2*tt.limit {
					time.Sleep(20 * time.Millisecond)
				}
				if took := time.Since(start); took > tt.limit {
					t.Errorf("all lasting tasks run again after %v, want at most %v", took, tt.limit)
				}
				for _, violation := range c.workers.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}

// Guards against orders of partitions, outages of the store, restarts and frozen processes that TestHolderInPartition
// doesn't list.
func TestRandomPartitions(t *testing.T) {
	for seed := range uint64(*partitionSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newPartitionCluster(t)
				defer c.stop()
				playRandomPartitions(c, rand.New(rand.NewPCG(seed, 0)))
				time.Sleep(25 * time.Second)
				if n := c.runningLasting(); n != lastingTasks {
					t.Errorf("%d lasting tasks run in the end, want %d", n, lastingTasks)
				}
				for _, violation := range c.workers.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}

// partitionSeeds is the number of seeds of TestRandomPartitions.
var partitionSeeds = flag.Int("partition-seeds", 20, "seeds of TestRandomPartitions")

// playRandomPartitions plays a minute of random disruptions. It leaves the network whole and all hosts running.
func playRandomPartitions(c *partitionCluster, rng *rand.Rand) {
	frozen := map[int]bool{}
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Duration(rng.IntN(6000)) * time.Millisecond) {
		i := rng.IntN(partitionHosts)
		switch rng.IntN(9) {
		case 0, 1:
			c.cut(fmt.Sprintf("z%d", rng.IntN(3)))
		case 2, 3:
			c.cut(fmt.Sprintf("z%d", rng.IntN(3)), "store")
		case 4:
			c.heal()
			c.serveAll()
		case 5:
			c.serve(rng.Perm(partitionHosts)[:rng.IntN(4)]...)
		case 6:
			c.serveAll()
		case 7:
			if !frozen[i] {
				c.restart(i)
			}
		case 8:
			if !c.host(i).dead {
				frozen[i] = !frozen[i]
				c.setFrozen(i, frozen[i])
			}
		}
	}
	for i, f := range frozen {
		if f {
			c.setFrozen(i, false)
		}
	}
	c.heal()
	c.serveAll()
}
