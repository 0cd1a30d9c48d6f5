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

// binaryPath is the path of the program under test, which TestMain builds.
var binaryPath string

// TestMain builds the program once for all tests.
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

// process is a running entry process or stand-in.
type process struct {
	t           testing.TB
	cmd         *exec.Cmd
	matchedLine chan string   // receives the first line of output that matches
	exited      chan struct{} // closed when the process has ended

	mu      sync.Mutex   // guards output
	output  bytes.Buffer // standard output and standard error so far
	exitErr error        // how the process ended; set before exited is closed
}

// startProcess starts the program with the arguments and waits for a line of output that matches.
// It returns the submatches of that line.
func startProcess(t testing.TB, match string, args ...string) (*process, []string) {
	t.Helper()
	return startProcessEnv(t, "", match, args...)
}

// startProcessEnv is like startProcess with an environment variable added, given as key=value.
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

// readOutput collects the output and reports the first line that matches. After a line of more
// than 1 MiB it discards the rest, so that the process is not blocked.
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

// outputText returns the output so far.
func (p *process) outputText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// kill kills the process, waits for its end, and logs its output if the test has failed.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
	if p.t.Failed() {
		p.t.Logf("%v\n%s", p.cmd.Args[1:], p.outputText())
	}
}

// waitTimeout is the longest wait for a condition that has to come true. Below this limit no verdict
// depends on how long the condition takes.
const waitTimeout = 60 * time.Second

// eventually polls cond until it holds, and fails the test after waitTimeout.
func eventually(t testing.TB, description string, cond func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !cond() {
		select {
		case <-ctx.Done():
			t.Fatalf("timed out waiting for: %s", description)
		case <-ticker.C:
		}
	}
}

// entryProcess is a running entry process.
type entryProcess struct {
	*process
	callerAddr, adminAddr string // addresses for callers and of the administration API
}

// system is a small deployment of stand-ins and entry processes.
type system struct {
	t              testing.TB
	processes      []*process // all processes that were started
	dir            string     // for settings and sheets
	storeAddr      string
	hostListAddr   string
	targetAddrs    []string // target i is in zones[i%3]
	slotsPerTarget int
	exampleTimings bool     // entry processes get the leases, intervals and buckets of the example settings
	adminToken     string   // of the administration API; if empty, no token is required
	entryEnv       string   // environment variable for entry processes, as key=value
	workerAddrs    []string // worker i is on rack i modulo the number of racks
	entries        []*entryProcess
}

// zones are the failure domains, as declared in the example sheet.
var zones = []string{"heredia", "cartago", "escazu"}

// newSystem returns a system that has a store and a host list.
func newSystem(t *testing.T) *system {
	s := &system{t: t, dir: t.TempDir()}
	s.startStoreAndHostList()
	return s
}

// startStoreAndHostList starts the stand-ins of the store and the host list.
func (s *system) startStoreAndHostList() {
	s.storeAddr = s.startStandin("store")
	s.hostListAddr = s.startStandin("hosts")
}

// startStandin starts a stand-in and returns its address.
func (s *system) startStandin(args ...string) string {
	s.t.Helper()
	p, match := startProcess(s.t, `listening (\S+)`, append([]string{"standin"}, args...)...)
	s.processes = append(s.processes, p)
	return match[1]
}

// addTargets starts n targets, which run each request for requestTime, and adds them to the host list.
func (s *system) addTargets(n, slots int, requestTime time.Duration) {
	s.slotsPerTarget = slots
	for range n {
		addr := s.startStandin("target", "--slots", fmt.Sprint(slots), "--work", requestTime.String())
		s.setHost(hosts.Host{Addr: addr, Kind: hosts.KindTarget, Zone: zones[len(s.targetAddrs)%3], Service: "registro", State: hosts.StateLive})
		s.targetAddrs = append(s.targetAddrs, addr)
	}
}

// addWorkers starts n workers on the given number of racks and adds them to the host list. Rack i
// is in zones[i%3].
func (s *system) addWorkers(n, racks int) {
	for i := range n {
		addr := s.startStandin("worker", "--cpu", "4000", "--mem", "8000", "--lag", "100ms")
		rack := i % racks
		s.setHost(hosts.Host{Addr: addr, Kind: hosts.KindWorker, Zone: zones[rack%3], Rack: fmt.Sprintf("rack%d", rack), State: hosts.StateLive})
		s.workerAddrs = append(s.workerAddrs, addr)
	}
}

// workerStats is what a worker has counted: starts and accepted results, by placement. The form of a
// placement is job/index@number.
type workerStats struct{ Starts, Accepts map[string]int }

// workerCounts sums up the counts of all workers: starts by placement, accepted results by task.
func (s *system) workerCounts() (starts, accepts map[string]int) {
	starts, accepts = map[string]int{}, map[string]int{}
	for _, addr := range s.workerAddrs {
		var stats workerStats
		s.sendJSON(http.MethodGet, "http://"+addr+"/stats", nil, &stats)
		for id, n := range stats.Starts {
			starts[id] += n
		}
		for id, n := range stats.Accepts {
			task, _, _ := strings.Cut(id, "@")
			accepts[task] += n
		}
	}
	return starts, accepts
}

// getJob returns a job as an entry process reports it.
func (s *system) getJob(e *entryProcess, id string) node.JobView {
	var v node.JobView
	s.sendJSON(http.MethodGet, "http://"+e.adminAddr+"/v1/jobs/"+id, nil, &v)
	return v
}

// setHost adds a host to the host list or changes it.
func (s *system) setHost(h hosts.Host) {
	s.t.Helper()
	s.sendJSON(http.MethodPut, "http://"+s.hostListAddr+"/", h, nil)
}

// settingsTemplate holds the settings of an entry process. It is formatted with a number, the failure
// domain, and the addresses of the store and the host list.
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

// addEntry starts an entry process and waits until it logs its addresses.
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
	p, match := startProcessEnv(s.t, s.entryEnv, `msg=serving .*caller=(\S+) .*admin=(\S+)`, "serve", "--settings", file)
	s.processes = append(s.processes, p)
	e := &entryProcess{p, match[1], match[2]}
	s.entries = append(s.entries, e)
	return e
}

// isReady reports whether the process answers that it is ready.
func (e *entryProcess) isReady() bool {
	resp, err := http.Get("http://" + e.adminAddr + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// status returns the status that the process reports, or a zero status if it does not answer.
func (e *entryProcess) status() node.Status {
	var status node.Status
	resp, err := http.Get("http://" + e.adminAddr + "/v1/status")
	if err != nil {
		return status
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&status)
	return status
}

// ownedTargets returns the number of targets that the process owns.
func (e *entryProcess) ownedTargets() int {
	return len(e.status().Services["registro"].Targets)
}

// awaitOwnership waits until every running entry process is ready and as many targets are owned as
// there are.
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

// putSheet puts the example sheet of the association in force through the command line. The slots
// in the sheet are set to those of the targets.
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

// runCommand runs a command of the program to its end, checks its exit code and returns its output.
func (s *system) runCommand(code int, args ...string) string {
	s.t.Helper()
	c := exec.Command(binaryPath, args...)
	out, _ := c.CombinedOutput()
	if got := c.ProcessState.ExitCode(); got != code {
		s.t.Fatalf("%v: exit code %d, not %d:\n%s", args, got, code, out)
	}
	return string(out)
}

// sendJSON sends a request with a JSON body, and decodes the answer into out unless out is nil.
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

// targetStats is what a target has counted: the most concurrent requests and connections, the
// requests that came while every slot was busy or that repeated a key with another body, all runs,
// and the requests that ran more than once.
type targetStats struct{ Peak, Conns, Over, Total, Twice int }

// targetCounts combines the counts of all targets: sums, and the maximum of each peak.
func (s *system) targetCounts() targetStats {
	var sum targetStats
	for _, addr := range s.targetAddrs {
		var stats targetStats
		s.sendJSON(http.MethodGet, "http://"+addr+"/stats", nil, &stats)
		sum.Total += stats.Total
		sum.Over += stats.Over
		sum.Twice += stats.Twice
		sum.Peak = max(sum.Peak, stats.Peak)
		sum.Conns = max(sum.Conns, stats.Conns)
	}
	return sum
}

// answer is the answer that a caller received.
type answer struct {
	status  int    // HTTP status
	outcome string // the Sail-Outcome header
	body    string
	err     error // why there is no complete answer
}

// errorCode returns the stable error code of an answer that an entry process made itself, or "".
func (a answer) errorCode() string {
	var body struct{ Code string }
	_ = json.Unmarshal([]byte(a.body), &body)
	return body.Code
}

// callerClient is the HTTP client of all callers.
var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}

// postCheckin sends a check-in, with the key unless it is empty.
func postCheckin(addr, key, body string) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/registro/checkin", strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	// This keeps the client's transport from repeating the request by itself.
	req.GetBody = nil
	return doRequest(req)
}

// doRequest sends a request and reads its answer.
func doRequest(req *http.Request) answer {
	resp, err := callerClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get("Sail-Outcome"), string(data), err}
}
