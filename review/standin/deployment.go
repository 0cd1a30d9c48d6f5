package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"bramleysail.example/bramleysail/internal/fake/txkv"
)

// Names and bounds of the deployment; the bounds are those of the site acbvc-sail.
const (
	serviceName = "registro"
	hostName    = "nony24.example"
	queuePrefix = "/lohu930/"
	stopLimit   = 200 * time.Millisecond // stopTimeoutMs
	deadline    = 3 * time.Second        // of a caller's request
)

// deployment is a small deployment: hosts of the project as processes of their own, stand-ins for all else.
type deployment struct {
	zones    []string // of the hosts, by number from 1
	net      *network
	store    *platformStore
	ledger   *ledger
	rec      *record
	runners  []*runner
	taskTime func(task string) time.Duration
	dir      string // temporary folder
	hosts    []*exec.Cmd
}

// newDeployment starts a deployment: hosts in the given zones, and runners in each zone. The store stands in storeZone.
func newDeployment(rec *record, zones []string, runnersPerZone int, storeZone string, taskTime func(string) time.Duration) (*deployment, error) {
	n, err := newNetwork()
	if err != nil {
		return nil, err
	}
	d := &deployment{
		zones: append([]string{""}, zones...), net: n, ledger: &ledger{}, rec: rec, taskTime: taskTime,
		store: &platformStore{service: &txkv.Service{}, net: n, zone: storeZone, rec: rec},
	}
	if d.dir, err = os.MkdirTemp("", "review-*"); err != nil {
		return nil, err
	}
	d.writeConfig()
	go d.store.removeSilent()
	for j := 1; j < len(d.zones); j++ {
		if err := d.store.serve(j, d.zones[j]); err != nil {
			return d, err
		}
	}
	seen := map[string]bool{}
	for _, zone := range zones {
		if seen[zone] {
			continue
		}
		seen[zone] = true
		for range runnersPerZone {
			r := newRunner(len(d.runners)+1, zone, d)
			if err := r.start(); err != nil {
				return d, err
			}
			d.runners = append(d.runners, r)
		}
	}
	if err := n.linkHosts(d.zones); err != nil {
		return d, err
	}
	for j := 1; j < len(d.zones); j++ {
		if err := d.startHost(j); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady()
}

// writeConfig writes the operator's configuration.
func (d *deployment) writeConfig() {
	config, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-3hwrr6x", "host": hostName, "prefix": queuePrefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000,
			"priority": 0, "service": serviceName, "maxAttempts": 3, "stretchFactor": 2,
		}},
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "rejectsOverload": true}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	d.store.service.Put("op/config", config)
}

// placeholder is a placeholder of the settings' template.
var placeholder = regexp.MustCompile(`\{\{([a-zA-Z_.0-9]+)(\|json)?\}\}`)

// fields returns the fields of a host's settings that the template names.
func (d *deployment) fields(j int) map[string]any {
	return map[string]any{
		"nodeName": fmt.Sprintf("frontend-%s-%d", d.zones[j], j), "zone": d.zones[j], "ip": fmt.Sprintf("%s1.%d", ownPrefix, j),
		"bindAddrs.frontend": d.net.hostAddr(j, callerPort), "bindAddrs.readiness": d.net.hostAddr(j, readyPort),
		"internalPortRange.0": d.net.ports[peerPort], "platform.address": d.net.storeView(j), "platform.ttlMinMs": 1000,
		"bounds.holdMaxMs": holdMax.Milliseconds(), "bounds.stopTimeoutMs": stopLimit.Milliseconds(), "bounds.graceS": 6, "bounds.status_s": 120,
		"limits.cpuShare": 0.4, "limits.cores": 1, "limits.memoryMb": 284, "limits.maxFds": 4100, "limits.linkMbps": 1000.0,
	}
}

// settings returns the settings of host j: the project's template, filled in. The port of the metrics, which the template
// gives as a number, is replaced by a free one.
func (d *deployment) settings(j int) (string, error) {
	template, err := os.ReadFile("deploy/host.toml.tmpl")
	if err != nil {
		return "", err
	}
	fields, missing := d.fields(j), ""
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		v, ok := fields[m[1]]
		if !ok {
			missing = m[1]
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		out, _ := json.Marshal(v)
		return string(out)
	})
	if missing != "" {
		return "", fmt.Errorf("the template names %s, which this stand-in doesn't fill in", missing)
	}
	return strings.Replace(text, ":9102", ":"+strconv.Itoa(d.net.ports[metricsPort]), 1), nil
}

// startHost starts host j with the command of the deploy file.
func (d *deployment) startHost(j int) error {
	var deploy struct {
		Roles map[string]struct {
			Run string `toml:"run"`
		} `toml:"roles"`
	}
	if _, err := toml.DecodeFile("deploy/system.toml", &deploy); err != nil {
		return err
	}
	settings, err := d.settings(j)
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, fmt.Sprintf("host-%d.toml", j))
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(d.dir, fmt.Sprintf("host-%d.log", j)))
	if err != nil {
		return err
	}
	defer out.Close()
	args := strings.Fields(deploy.Roles["host"].Run)
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "BRAMLEYSAIL_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives this process
	if err := cmd.Start(); err != nil {
		return err
	}
	d.hosts = append(d.hosts, cmd)
	d.rec.add("host %d (%s): started", j, d.zones[j])
	return nil
}

// stop ends all hosts and removes the temporary folder, unless KEEP_LOGS is set.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		_ = h.Process.Kill()
		_ = h.Wait()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

// readyTimeout bounds the wait until all hosts are ready.
const readyTimeout = 15 * time.Second

// awaitReady waits until all hosts are ready.
func (d *deployment) awaitReady() error {
	limit := time.Now().Add(readyTimeout)
	for j := 1; j < len(d.zones); {
		resp, err := http.Get("http://" + d.net.hostAddr(j, readyPort) + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				j++
				continue
			}
		}
		if time.Now().After(limit) {
			return errors.New("the hosts weren't ready in time")
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.rec.add("all hosts are ready")
	return nil
}

// callers keeps no connections, so that each request is as one of another caller.
var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// ask makes a request of a caller to host j and returns the answer's status and body; 0: there was none within patience.
func (d *deployment) ask(method string, j int, id string, body []byte, patience time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.net.hostAddr(j, callerPort)+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	d.rec.add("caller: %s %s to host %d %s", method, id, j, body)
	resp, err := callers.Do(req)
	if err != nil {
		d.rec.add("caller: %s %s to host %d: no answer: %v", method, id, j, err)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	d.rec.add("caller: %s %s to host %d: answered %d %s", method, id, j, resp.StatusCode, bytes.TrimSpace(text))
	return resp.StatusCode, string(bytes.TrimSpace(text))
}

// submit hands a job in at host j, at the next host again after an answer that allows it, and reports whether it was accepted.
func (d *deployment) submit(j int, id string, steps []step) bool {
	body, err := json.Marshal(map[string]any{"spec": "spec of " + id, "jobSteps": steps})
	if err != nil {
		return false
	}
	for range 5 {
		if code, _ := d.ask(http.MethodPost, j, id, body, deadline); code/100 == 2 {
			return true
		}
		if j++; j >= len(d.zones) {
			j = 1
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// step is a step of a job as callers send it.
type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	MemMb      int   `json:"memMb"`
	EstimateMs int64 `json:"estimateMs"`
	After      []int `json:"after,omitempty"`
}

// holder returns the host whose calls the runners last took.
func (d *deployment) holder() int {
	votes := map[int]int{}
	best := 0
	for _, r := range d.runners {
		r.mu.Lock()
		h := r.holder
		r.mu.Unlock()
		if votes[h]++; h != 0 && votes[h] > votes[best] {
			best = h
		}
	}
	return best
}
