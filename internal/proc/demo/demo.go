package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/conf"
	"bramleysail.example/bramleysail/internal/base/telem"
	"bramleysail.example/bramleysail/internal/batch/wire"
	"bramleysail.example/bramleysail/internal/ctrl/sheet"
	fakehosts "bramleysail.example/bramleysail/internal/fake/hosts"
	fakestore "bramleysail.example/bramleysail/internal/fake/store"
	faketarget "bramleysail.example/bramleysail/internal/fake/target"
	fakeworker "bramleysail.example/bramleysail/internal/fake/worker"
	"bramleysail.example/bramleysail/internal/plat/hosts"
	"bramleysail.example/bramleysail/internal/plat/store"
	"bramleysail.example/bramleysail/internal/proc/node"
)

const (
	entries = 3
	targets = 6
	workers = 6
	slots   = 4
	work    = 20 * time.Millisecond
	callers = 24
	service = "registro"
	lease   = 2 * time.Second
	patient = 30 * time.Second // how long the demo waits for anything
)

var zones = []string{"heredia", "cartago", "escazu"}

const sheetText = `base = 0
[[zone]]
name = "heredia"
[[zone]]
name = "cartago"
[[zone]]
name = "escazu"
[[service]]
name = "registro"
zones = ["heredia", "cartago", "escazu"]
slots = 4
conns = 60
timeout = "5s"
[[job]]
name = "audit"
zones = ["heredia", "cartago", "escazu"]
`

// Demo is one run; Run makes it.
type Demo struct {
	out     io.Writer
	store   *fakestore.Store
	client  store.Store
	hosts   *fakehosts.List
	targets []*faketarget.Target
	workers []*fakeworker.Worker
	nodes   []*node.Node
	servers []*http.Server
	load    load
	broken  []string
}

// Run runs the demo, shows its progress on out, and returns the promises that were broken.
func Run(ctx context.Context, out io.Writer) ([]string, error) {
	d := &Demo{out: out, store: &fakestore.Store{}, hosts: &fakehosts.List{}}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	if err := d.play(ctx); err != nil {
		return nil, err
	}
	d.report()
	return d.broken, nil
}

func (d *Demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, format+"\n", args...)
}

// listen serves h on a free loopback port and returns its address.
func (d *Demo) listen(s *http.Server) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "demo")
	}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (d *Demo) start(ctx context.Context) error {
	storeAddr, err := d.listen(&http.Server{Handler: d.store.Handler()})
	if err != nil {
		return err
	}
	hostsAddr, err := d.listen(&http.Server{Handler: d.hosts})
	if err != nil {
		return err
	}
	d.client = store.NewHTTP("http://"+storeAddr, time.Second)
	if err := d.startHosts(); err != nil {
		return err
	}
	if _, err := sheet.PutSheet(ctx, d.client, sheetText, false); err != nil {
		return err
	}
	for i := range entries {
		n, err := node.Start(d.settings(i, storeAddr, hostsAddr), telem.NewLogger(io.Discard, "error"))
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
	}
	d.say("started %d entry processes, %d targets of %d slots, %d workers, a store and a host list", entries, targets, slots, workers)
	return nil
}

func (d *Demo) startHosts() error {
	for i := range targets {
		t := faketarget.New(slots, work)
		addr, err := d.listen(t.Server())
		if err != nil {
			return err
		}
		d.targets = append(d.targets, t)
		d.hosts.Set(hosts.Host{Addr: addr, Kind: hosts.KindTarget, Zone: zones[i%3], Service: service, State: hosts.StateLive})
	}
	for i := range workers {
		w := fakeworker.New(wire.Size{CPU: 4000, Mem: 8000}, 100*time.Millisecond)
		addr, err := d.listen(&http.Server{Handler: w.Handler()})
		if err != nil {
			return err
		}
		d.workers = append(d.workers, w)
		d.hosts.Set(hosts.Host{Addr: addr, Kind: hosts.KindWorker, Zone: zones[i%3], Rack: "rack" + zones[i%3], State: hosts.StateLive})
	}
	return nil
}

func (d *Demo) settings(i int, storeAddr, hostsAddr string) conf.Settings {
	s := conf.Default()
	s.Name, s.Zone = fmt.Sprintf("entry%d", i), zones[i%3]
	s.Listen = conf.Listen{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	s.Store.URL, s.Hosts.URL = "http://"+storeAddr, "http://"+hostsAddr
	s.Store.Timeout, s.Store.LeaseTTL, s.Store.WatchTimeout = 500*time.Millisecond, lease, 2*time.Second
	s.Hosts.Interval = 200 * time.Millisecond
	s.Worker.LeaseTTL, s.Worker.PollInterval, s.Worker.Buckets = lease, 50*time.Millisecond, 4
	s.Stop.Linger = 200 * time.Millisecond
	return s
}

// until waits until cond holds.
func (d *Demo) until(ctx context.Context, what string, cond func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, patient)
	defer cancel()
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for !cond() {
		select {
		case <-ctx.Done():
			return errors.Errorf("demo: never came about: %s", what)
		case <-t.C:
		}
	}
	return nil
}

func (d *Demo) close() {
	d.load.end()
	for _, n := range d.nodes {
		n.Abort()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}
