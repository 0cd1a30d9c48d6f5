package world3

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Bounds are the figures that settings and stand-ins share.
type Bounds struct {
	HoldMaxMs, StopTimeoutMs, GraceS, StatusS int
}

// SmallBounds are those of a small deployment.
var SmallBounds = Bounds{HoldMaxMs: 10000, StopTimeoutMs: 400, GraceS: 6, StatusS: 120}

// Host is an entry process of the system.
type Host struct {
	Name   string
	Caller string // address for clients
	Ready  string // address of the readiness check
	Peer   string // address for the other entry processes
	Store  string // address of its store
	ip     string
	file   string
	log    *os.File
	cmd    *exec.Cmd
	rec    *Record
}

// freePort returns a free TCP port of an address.
func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// NewHosts returns entry processes, in three zones by turns, with their settings in a folder.
func NewHosts(n int, folder string, store *Store, b Bounds, rec *Record) ([]*Host, error) {
	tmpl, err := os.ReadFile("deploy/host.toml.tmpl")
	if err != nil {
		return nil, err
	}
	net1, net2 := 10+rand.IntN(200), 1+rand.IntN(250)
	var hosts []*Host
	for i := range n {
		h := &Host{Name: fmt.Sprintf("frontend-%d", i), ip: fmt.Sprintf("127.%d.%d.%d", net1, net2, 10+i), rec: rec}
		h.Caller, h.Ready = fmt.Sprintf("%s:%d", h.ip, freePort(h.ip)), fmt.Sprintf("%s:%d", h.ip, freePort(h.ip))
		port := freePort(h.ip)
		h.Peer = fmt.Sprintf("%s:%d", h.ip, port)
		if h.Store, err = store.Listen(h.Name); err != nil {
			return nil, err
		}
		text := strings.NewReplacer(
			"{{nodeName|json}}", fmt.Sprintf("%q", h.Name), "{{zone|json}}", fmt.Sprintf("%q", Zones[i%len(Zones)]),
			// The template has a fixed port for metrics, which another program may use.
			"{{ip}}:9102", fmt.Sprintf("%s:%d", h.ip, freePort(h.ip)), "{{ip}}", h.ip,
			"{{bindAddrs.frontend|json}}", fmt.Sprintf("%q", h.Caller), "{{bindAddrs.readiness|json}}", fmt.Sprintf("%q", h.Ready),
			"{{internalPortRange.0}}", fmt.Sprint(port), "{{platform.address|json}}", fmt.Sprintf("%q", h.Store), "{{platform.ttlMinMs}}", "1000",
			"{{bounds.holdMaxMs}}", fmt.Sprint(b.HoldMaxMs), "{{bounds.stopTimeoutMs}}", fmt.Sprint(b.StopTimeoutMs),
			"{{bounds.graceS}}", fmt.Sprint(b.GraceS), "{{bounds.status_s}}", fmt.Sprint(b.StatusS),
			"{{limits.cpuShare}}", "0.4", "{{limits.cores}}", "1", "{{limits.memoryMb}}", "284", "{{limits.maxFds}}", "4100", "{{limits.linkMbps}}", "1000.0",
		).Replace(string(tmpl))
		h.file = filepath.Join(folder, h.Name+".toml")
		if err := os.WriteFile(h.file, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if h.log, err = os.Create(filepath.Join(folder, h.Name+".log")); err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// Zones are the zones of hosts and runners.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

// Start starts the process by the command of the deploy file.
func (h *Host) Start() error {
	h.cmd = exec.Command("target/bramleysail", "host")
	h.cmd.Env = append(os.Environ(), "BRAMLEYSAIL_CONFIG="+h.file)
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.rec.Note("start %s pid %d", h.Name, h.cmd.Process.Pid)
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) {
	h.rec.Note("signal %s %s", h.Name, s)
	_ = h.cmd.Process.Signal(s) // it fails only if the process has ended
}

// Kill ends the process and waits for its end.
func (h *Host) Kill() {
	if h.cmd == nil {
		return
	}
	h.Signal(syscall.SIGKILL)
	_ = h.cmd.Wait() // the process was killed
	h.cmd = nil
}

// AwaitReady waits until a host answers its readiness check with 200.
func (h *Host) AwaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if code, _ := Call("GET", "http://"+h.Ready+"/readyz", "", nil, time.Second); code == 200 {
			return true
		}
	}
	return false
}

// Term ends the process gracefully and waits for its end.
func (h *Host) Term() {
	h.Signal(syscall.SIGTERM)
	_ = h.cmd.Wait() // it ends by itself
	h.cmd = nil
}
