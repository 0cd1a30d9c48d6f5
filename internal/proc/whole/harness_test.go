package whole

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/plat/hosts"
	"bramleysail.example/bramleysail/internal/proc/node"
)

var binaryPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bramleysail")
	if err != nil {
		panic(err)
	}
	binaryPath = filepath.Join(dir, "bramleysail")
	if out, err := exec.Command("go", "build", "-o", binaryPath, "../../../cmd/bramleysail").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a process of the system or a stand-in.
type process struct {
	t           testing.TB
	cmd         *exec.Cmd
	matchedLine chan string // the first line of output that matches
	exited      chan struct{}

	mu      sync.Mutex
	output  bytes.Buffer
	exitErr error
}

// startProcess runs the command and waits for a line of output that matches.
func startProcess(t testing.TB, match string, args ...string) (*process, []string) {
	t.Helper()
	return startProcessEnv(t, "", match, args...)
}

// startProcessEnv is start with an addition to the environment.
func startProcessEnv(t testing.TB, env, match string, args ...string) (*process, []string) {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(binaryPath, args...), matchedLine: make(chan string, 1), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env)
	r, w := io.Pipe()
	p.cmd.Stdout, p.cmd.Stderr = w, w
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	re := regexp.MustCompile(match)
	go p.readOutput(r, re)
	go func() {
		p.exitErr = p.cmd.Wait()
		_ = w.Close()
		close(p.exited)
	}()
	t.Cleanup(p.kill)
	select {
	case l := <-p.matchedLine:
		return p, re.FindStringSubmatch(l)
	case <-p.exited:
	case <-time.After(waitTimeout):
	}
	t.Fatalf("%v did not start:\n%s", args, p.outputText())
	return nil, nil
}

func (p *process) readOutput(r io.Reader, re *regexp.Regexp) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		p.mu.Lock()
		p.output.WriteString(s.Text() + "\n")
		p.mu.Unlock()
		if re.MatchString(s.Text()) {
			select {
			case p.matchedLine <- s.Text():
			default:
			}
		}
	}
	_, _ = io.Copy(io.Discard, r)
}

func (p *process) outputText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
	if p.t.Failed() {
		p.t.Logf("%v\n%s", p.cmd.Args[1:], p.outputText())
	}
}

// waitTimeout is how long a test waits for something that has to happen; no verdict
// depends on how long it takes.
const waitTimeout = 60 * time.Second

// eventually waits until cond holds.
func eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !cond() {
		select {
		case <-ctx.Done():
			t.Fatalf("never came about: %s", what)
		case <-tick.C:
		}
	}
}

// entryProcess is a serving process.
type entryProcess struct {
	*process
	callerAddr, adminAddr string
}

// system is a small deployment: stand-ins and serving processes.
type system struct {
	t              testing.TB
	processes      []*process
	dir            string
	storeAddr      string
	hostListAddr   string
	targetAddrs    []string
	slotsPerTarget int
	exampleTimings bool   // the default leases and rounds
	adminToken     string // of the administration API
	entryEnv       string // added to the environment of entry processes
	workerAddrs    []string
	entries        []*entryProcess
}

var zones = []string{"heredia", "cartago", "escazu"}

func newSystem(t *testing.T) *system {
	s := &system{t: t, dir: t.TempDir()}
	s.startStoreAndHostList()
	return s
}

// startStoreAndHostList starts the stand-ins that there is one of.
func (s *system) startStoreAndHostList() {
	s.storeAddr = s.startStandin("store")
	s.hostListAddr = s.startStandin("hosts")
}

// startStandin starts a stand-in and returns its address.
func (s *system) startStandin(args ...string) string {
	s.t.Helper()
	p, m := startProcess(s.t, `listening (\S+)`, append([]string{"standin"}, args...)...)
	s.processes = append(s.processes, p)
	return m[1]
}

func (s *system) addTargets(n, slots int, work time.Duration) {
	s.slotsPerTarget = slots
	for range n {
		addr := s.startStandin("target", "--slots", fmt.Sprint(slots), "--work", work.String())
		s.setHost(hosts.Host{Addr: addr, Kind: hosts.KindTarget, Zone: zones[len(s.targetAddrs)%3], Service: "registro", State: hosts.StateLive})
		s.targetAddrs = append(s.targetAddrs, addr)
	}
}

func (s *system) addWorkers(n, racks int) {
	for i := range n {
		addr := s.startStandin("worker", "--cpu", "4000", "--mem", "8000", "--lag", "100ms")
		rack := i % racks
		s.setHost(hosts.Host{Addr: addr, Kind: hosts.KindWorker, Zone: zones[rack%3], Rack: fmt.Sprintf("rack%d", rack), State: hosts.StateLive})
		s.workerAddrs = append(s.workerAddrs, addr)
	}
}

// workerStats is what the workers counted: starts and results let out, by task.
type workerStats struct{ Starts, Accepts map[string]int }

func (s *system) workerCounts() (starts, accepts map[string]int) {
	starts, accepts = map[string]int{}, map[string]int{}
	for _, addr := range s.workerAddrs {
		var st workerStats
		s.sendJSON(http.MethodGet, "http://"+addr+"/stats", nil, &st)
		for id, n := range st.Starts {
			starts[id] += n
		}
		for id, n := range st.Accepts {
			task, _, _ := strings.Cut(id, "@")
			accepts[task] += n
		}
	}
	return starts, accepts
}

// getJob returns a getJob as an entry process shows it.
func (s *system) getJob(e *entryProcess, id string) node.JobView {
	var v node.JobView
	s.sendJSON(http.MethodGet, "http://"+e.adminAddr+"/v1/jobs/"+id, nil, &v)
	return v
}

func (s *system) setHost(h hosts.Host) {
	s.t.Helper()
	s.sendJSON(http.MethodPut, "http://"+s.hostListAddr+"/", h, nil)
}

const settingsTemplate = `
name = "e%d"
zone = "%s"
[listen]
caller = "127.0.0.1:0"
peer = "127.0.0.1:0"
admin = "127.0.0.1:0"
[store]
url = "http://%s"
timeout = "500ms"
lease = "2s"
wait = "2s"
[hosts]
url = "http://%s"
every = "200ms"
[stop]
linger = "1s"
grace = "20s"
[worker]
lease = "2s"
poll = "50ms"
buckets = 4
`

func (s *system) addEntry() *entryProcess {
	n := len(s.entries)
	file := filepath.Join(s.dir, fmt.Sprintf("e%d.toml", n))
	text := fmt.Sprintf(settingsTemplate, n, zones[n%3], s.storeAddr, s.hostListAddr)
	if s.adminToken != "" {
		text += fmt.Sprintf("[admin]\ntoken = %q\n", s.adminToken)
	}
	if s.exampleTimings {
		text = strings.NewReplacer("500ms", "1s", "2s", "6s", "50ms", "200ms", "buckets = 4", "buckets = 16").Replace(text)
	}
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	p, m := startProcessEnv(s.t, s.entryEnv, `msg=serving .*caller=(\S+) .*admin=(\S+)`, "serve", "--settings", file)
	s.processes = append(s.processes, p)
	e := &entryProcess{p, m[1], m[2]}
	s.entries = append(s.entries, e)
	return e
}

func (e *entryProcess) isReady() bool {
	resp, err := http.Get("http://" + e.adminAddr + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *entryProcess) status() node.Status {
	var s node.Status
	resp, err := http.Get("http://" + e.adminAddr + "/v1/status")
	if err != nil {
		return s
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&s)
	return s
}

// ownedTargets returns how many targets the process owns.
func (e *entryProcess) ownedTargets() int {
	return len(e.status().Services["registro"].Targets)
}

// awaitOwnership waits until every process is ready and every target is owned once.
func (s *system) awaitOwnership() {
	s.t.Helper()
	eventually(s.t, "all targets owned", func() bool {
		sum := 0
		for _, e := range s.entries {
			select {
			case <-e.exited:
				continue
			default:
			}
			if !e.isReady() {
				return false
			}
			sum += e.ownedTargets()
		}
		return sum == len(s.targetAddrs)
	})
}

// putSheet puts the association's example sheet, with as many slots as the targets
// have, in force through the command line.
func (s *system) putSheet() {
	s.t.Helper()
	data, err := os.ReadFile("../../../examples/association.sheet.toml")
	if err != nil {
		s.t.Fatal(err)
	}
	text := strings.Replace(string(data), "slots = 8", fmt.Sprintf("slots = %d", max(s.slotsPerTarget, 1)), 1)
	file := filepath.Join(s.dir, "sheet.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.runCommand(0, "sheet", "put", "--admin", s.entries[0].adminAddr, file)
}

// runCommand runs a command of the command line to its end and checks its exit code.
func (s *system) runCommand(code int, args ...string) string {
	s.t.Helper()
	c := exec.Command(binaryPath, args...)
	out, _ := c.CombinedOutput()
	if got := c.ProcessState.ExitCode(); got != code {
		s.t.Fatalf("%v: exit code %d, not %d:\n%s", args, got, code, out)
	}
	return string(out)
}

func (s *system) sendJSON(method, url string, body, out any) {
	s.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		s.t.Fatal(err)
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	if out != nil {
		if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
			s.t.Fatal(err)
		}
	}
}

// targetStats is what a target counted.
type targetStats struct{ Peak, Conns, Over, Total, Twice int }

func (s *system) targetCounts() targetStats {
	var sum targetStats
	for _, addr := range s.targetAddrs {
		var st targetStats
		s.sendJSON(http.MethodGet, "http://"+addr+"/stats", nil, &st)
		sum.Total += st.Total
		sum.Over += st.Over
		sum.Twice += st.Twice
		sum.Peak = max(sum.Peak, st.Peak)
		sum.Conns = max(sum.Conns, st.Conns)
	}
	return sum
}

// answer is what a caller gets.
type answer struct {
	status  int
	outcome string
	body    string
	err     error
}

// errorCode returns the stable errorCode of an answer of the system's own.
func (a answer) errorCode() string {
	var body struct{ Code string }
	_ = json.Unmarshal([]byte(a.body), &body)
	return body.Code
}

var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}

// postCheckin sends a check-in with the key.
func postCheckin(addr, key, body string) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/registro/checkin", strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	// Without this the caller's own transport would repeat the request by itself.
	req.GetBody = nil
	return doRequest(req)
}

func doRequest(req *http.Request) answer {
	resp, err := callerClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get("Sail-Outcome"), string(data), err}
}
