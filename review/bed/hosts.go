package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	maxHosts  = 9
	program   = "target/bramleysail"
	template  = "deploy/host.toml.tmpl"
	startTime = 10 * time.Second // for all hosts to be ready
)

// host is an entry host: one process of the project's program.
type host struct {
	name    string
	number  int
	caller  string
	ready   string
	peer    string
	metrics string
	config  string
	logPath string
	cmd     *exec.Cmd
	dead    chan struct{}
	trouble sync.Mutex // held by a disruption of the host
}

// hostIP is the loopback address of this deployment's hosts. Two deployments at a time don't take each other's free ports.
var hostIP = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/250%250, 1+os.Getpid()%250)

// Ports of hosts lie below those that the system gives to connections, one of which could otherwise take a port before its host
// listens on it.
const (
	minPort = 12000
	maxPort = 30000
)

// freeAddr returns a loopback address with a free port.
func freeAddr() string {
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(hostIP, strconv.Itoa(minPort+rand.IntN(maxPort-minPort))))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
}

// newHost prepares a host whose store is at the given address, with the settings that the deploy file's template gives.
func newHost(dir string, number int, zone, storeAddr string) (*host, error) {
	h := &host{name: fmt.Sprintf("frontend-%s-%d", zone, number), number: number, caller: freeAddr(), ready: freeAddr(), peer: freeAddr(), metrics: freeAddr()}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	_, peerPort, _ := net.SplitHostPort(h.peer)
	_, metricsPort, _ := net.SplitHostPort(h.metrics)
	settings := strings.NewReplacer(
		"{{nodeName|json}}", `"`+h.name+`"`, "{{zone|json}}", `"`+zone+`"`, "{{ip}}:9102", hostIP+":"+metricsPort, "{{ip}}", hostIP,
		"{{bindAddrs.frontend|json}}", `"`+h.caller+`"`, "{{bindAddrs.readiness|json}}", `"`+h.ready+`"`, "{{internalPortRange.0}}", peerPort,
		"{{platform.address|json}}", `"`+storeAddr+`"`, "{{platform.ttlMinMs}}", "1000",
		"{{bounds.holdMaxMs}}", strconv.FormatInt(maxHold.Milliseconds(), 10), "{{bounds.stopTimeoutMs}}", "400", "{{bounds.graceS}}", "6", "{{bounds.status_s}}", "120",
		"{{limits.cpuShare}}", "0.16", "{{limits.cores}}", "1", "{{limits.memoryMb}}", "284", "{{limits.maxFds}}", "4100", "{{limits.linkMbps}}", "1000.0",
	).Replace(string(text))
	if strings.Contains(settings, "{{") {
		return nil, fmt.Errorf("a field of the template isn't known: %s", settings)
	}
	h.config = filepath.Join(dir, h.name+".toml")
	h.logPath = filepath.Join(dir, h.name+".log")
	return h, os.WriteFile(h.config, []byte(settings), 0o644)
}

// start starts the process.
func (h *host) start() error {
	log, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	h.cmd = exec.Command(program, "host")
	h.cmd.Env = append(os.Environ(), "BRAMLEYSAIL_CONFIG="+h.config)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	dead := make(chan struct{})
	h.dead = dead
	cmd := h.cmd
	go func() {
		_ = cmd.Wait()
		close(dead)
	}()
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// kill kills the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.dead
}

// isReady reports whether the host answers its readiness check with 200.
func (h *host) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// freeze stops the process, and continues it after d.
func (h *host) freeze(d time.Duration) {
	h.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { h.signal(syscall.SIGCONT) })
}
