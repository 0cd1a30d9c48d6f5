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
	entryCount     = 3
	targetCount    = 6
	workerCount    = 6
	slotsPerTarget = 4                     // as in sheetText
	requestTime    = 20 * time.Millisecond // how long a target runs a request
	callerCount    = 24                    // concurrent callers
	serviceName    = "registro"            // the service of all requests, declared in sheetText
	leaseTTL       = 2 * time.Second       // of the store's and the workers' leases
	waitTimeout    = 30 * time.Second      // longest wait for any condition
)

// zones are the failure domains, as declared in sheetText.
var zones = []string{"heredia", "cartago", "escazu"}

// sheetText is the configuration that the demo puts in force.
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

// Demo is one run of the demo in which the entry processes share the targets, racks and
// buckets among them. It is created by Run.
type Demo struct {
	output      io.Writer            // receives the progress and the report
	store       *fakestore.Store     // stand-in for the platform's key-value service
	storeClient store.Store          // used to change the configuration
	hostList    *fakehosts.List      // stand-in for the platform's host list
	targets     []*faketarget.Target // target i is in zones[i%3]
	workers     []*fakeworker.Worker // worker i is in zones[i%3]
	nodes       []*node.Node         // the entry processes
	servers     []*http.Server       // HTTP servers of the stand-ins
	callers     callerLoad           // sends the check-ins
	violations  []string             // guarantees found violated
}

// Run runs the demo, prints its progress to out, and returns the guarantees that were violated.
func Run(ctx context.Context, out io.Writer) ([]string, error) {
	d := &Demo{output: out, store: &fakestore.Store{}, hostList: &fakehosts.List{}}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	if err := d.runScenes(ctx); err != nil {
		return nil, err
	}
	d.printReport()
	return d.violations, nil
}

// printf prints a line to the output.
func (d *Demo) printf(format string, args ...any) {
	fmt.Fprintf(d.output, format+"\n", args...)
}

// serve starts s on a free loopback port and returns its address.
func (d *Demo) serve(s *http.Server) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "demo")
	}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// start starts the stand-ins, puts the configuration in force and starts the entry processes.
func (d *Demo) start(ctx context.Context) error {
	storeAddr, err := d.serve(&http.Server{Handler: d.store.Handler()})
	if err != nil {
		return err
	}
	hostListAddr, err := d.serve(&http.Server{Handler: d.hostList})
	if err != nil {
		return err
	}
	d.storeClient = store.NewHTTP("http://"+storeAddr, time.Second)
	if err := d.startTargetsAndWorkers(); err != nil {
		return err
	}
	if _, err := sheet.PutSheet(ctx, d.storeClient, sheetText, false); err != nil {
		return err
	}
	for i := range entryCount {
		n, err := node.Start(d.entrySettings(i, storeAddr, hostListAddr), telem.NewLogger(io.Discard, "error"))
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
	}
	d.printf("started %d entry processes, %d targets of %d slots, %d workers, a store and a host list", entryCount, targetCount, slotsPerTarget, workerCount)
	return nil
}

// startTargetsAndWorkers starts the targets and workers and adds them to the host list.
func (d *Demo) startTargetsAndWorkers() error {
	for i := range targetCount {
		t := faketarget.New(slotsPerTarget, requestTime)
		addr, err := d.serve(t.Server())
		if err != nil {
			return err
		}
		d.targets = append(d.targets, t)
		d.hostList.Set(hosts.Host{Addr: addr, Kind: hosts.KindTarget, Zone: zones[i%3], Service: serviceName, State: hosts.StateLive})
	}
	for i := range workerCount {
		w := fakeworker.New(wire.Size{CPU: 4000, Mem: 8000}, 100*time.Millisecond)
		addr, err := d.serve(&http.Server{Handler: w.Handler()})
		if err != nil {
			return err
		}
		d.workers = append(d.workers, w)
		d.hostList.Set(hosts.Host{Addr: addr, Kind: hosts.KindWorker, Zone: zones[i%3], Rack: "rack" + zones[i%3], State: hosts.StateLive})
	}
	return nil
}

// entrySettings returns the settings of entry process i.
func (d *Demo) entrySettings(i int, storeAddr, hostListAddr string) conf.Settings {
	s := conf.Default()
	s.Name, s.Zone = fmt.Sprintf("entry%d", i), zones[i%3]
	s.Listen = conf.Listen{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	s.Store.URL, s.Hosts.URL = "http://"+storeAddr, "http://"+hostListAddr
	s.Store.Timeout, s.Store.LeaseTTL, s.Store.WatchTimeout = 500*time.Millisecond, leaseTTL, 2*time.Second
	s.Hosts.Interval = 200 * time.Millisecond
	s.Worker.LeaseTTL, s.Worker.PollInterval, s.Worker.Buckets = leaseTTL, 50*time.Millisecond, 4
	s.Stop.Linger = 200 * time.Millisecond
	return s
}

// waitUntil polls cond until it holds, and returns an error with the description after waitTimeout.
func (d *Demo) waitUntil(ctx context.Context, description string, cond func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !cond() {
		select {
		case <-ctx.Done():
			return errors.Errorf("demo: timed out waiting for: %s", description)
		case <-ticker.C:
		}
	}
	return nil
}

// close stops the callers, the entry processes and the stand-ins.
func (d *Demo) close() {
	d.callers.stop()
	for _, n := range d.nodes {
		n.Abort()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}
