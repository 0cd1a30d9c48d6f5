package conf

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/intake"
)

// Settings holds all settings of an entry process. Default returns working values.
type Settings struct {
	Name   string `toml:"name"`
	Zone   string `toml:"zone"` // failure domain
	Listen Listen `toml:"listen"`
	Store  Store  `toml:"store"`
	Hosts  Hosts  `toml:"hosts"`
	Peer   Peer   `toml:"peer"`
	Limit  Limit  `toml:"limit"`
	Stop   Stop   `toml:"stop"`
	Trace  Trace  `toml:"trace"`
	Admin  Admin  `toml:"admin"`
	Log    Log    `toml:"log"`
	Worker Worker `toml:"worker"`
}

// Listen holds the addresses (host:port) on which the process listens.
type Listen struct {
	Caller string `toml:"caller"` // for callers' requests
	Peer   string `toml:"peer"`   // for calls of other entry processes
	Admin  string `toml:"admin"`  // for the administration API
}

// Store sets the access to the platform's key-value service.
type Store struct {
	URL          string        `toml:"url"`
	Timeout      time.Duration `toml:"timeout"` // of one call
	LeaseTTL     time.Duration `toml:"lease"`   // time to live of this process's lease
	WatchTimeout time.Duration `toml:"wait"`    // longest wait of one watch
}

// Hosts sets the reading of the host list.
type Hosts struct {
	URL      string        `toml:"url"`
	Interval time.Duration `toml:"every"` // between two reads
}

// Peer sets the calls between entry processes.
type Peer struct {
	HeartbeatInterval time.Duration `toml:"beat"`    // between two heartbeats to a peer
	Timeout           time.Duration `toml:"timeout"` // of one call
}

// Limit bounds the requests of callers and their answers.
type Limit struct {
	MaxRequestBytes    int64         `toml:"body"`   // size of a request's body
	MaxAnswerBytes     int64         `toml:"answer"` // size of an answer's body
	ReadTimeout        time.Duration `toml:"read"`   // time in which a request's header and body have to arrive
	RequestIDRetention time.Duration `toml:"keep"`   // how long request ids are remembered
	// BodiesBytes is the memory for requests in flight, which take four times their size; 0: DefaultBodiesBytes, or what a request
	// of the largest size takes.
	BodiesBytes int64 `toml:"bodies"`
	MaxCallers  int   `toml:"callers"` // number of callers' connections; 0: up to 4,096, and half of the process's file descriptors
}

// DefaultBodiesBytes is the memory for requests in flight if the settings name none.
const DefaultBodiesBytes = 64 << 20

// RequestMemory returns the memory for requests in flight in bytes.
func (l Limit) RequestMemory() int64 {
	if l.BodiesBytes > 0 {
		return l.BodiesBytes
	}
	return max(DefaultBodiesBytes, intake.MinBudget(l.MaxRequestBytes))
}

// Stop sets the graceful shutdown.
type Stop struct {
	Linger time.Duration `toml:"linger"` // how long the load balancer may still send requests after the stop begins
	Grace  time.Duration `toml:"grace"`  // how long requests in flight then have to finish
}

// Trace sets the export of trace spans.
type Trace struct {
	URL string `toml:"url"` // of an OTLP/HTTP collector; empty: no export
}

// Admin sets the access control of the administration API.
type Admin struct {
	Token string `toml:"token"` // bearer token that calls must carry; empty: none is required
}

// Log sets the logging.
type Log struct {
	Level string `toml:"level"` // debug, info, warn or error
}

// Worker sets the control of tasks on workers.
type Worker struct {
	LeaseTTL     time.Duration `toml:"lease"` // time to live of the lease of a worker's tasks; renewed every third of it
	PollInterval time.Duration `toml:"poll"`  // between two reports
	MaxConfigAge time.Duration `toml:"fresh"` // age of the last confirmed configuration up to which tasks are started
	// Buckets is the number of records that jobs are distributed over. It must be the same in
	// every process and must never change, as the record of a job is found by means of it.
	Buckets int `toml:"buckets"`
}

// Default returns the settings that apply where a file sets nothing.
func Default() Settings {
	return Settings{
		Listen: Listen{"127.0.0.1:8080", "127.0.0.1:8081", "127.0.0.1:8082"},
		Store:  Store{"http://127.0.0.1:8500", time.Second, 6 * time.Second, 10 * time.Second},
		Hosts:  Hosts{"http://127.0.0.1:8600", time.Second},
		Peer:   Peer{50 * time.Millisecond, 500 * time.Millisecond},
		Limit:  Limit{1 << 20, 8 << 20, 10 * time.Second, 10 * time.Minute, 0, 0},
		Stop:   Stop{3 * time.Second, 30 * time.Second},
		Log:    Log{"info"},
		Worker: Worker{6 * time.Second, 200 * time.Millisecond, 3 * time.Second, 16},
	}
}

// maxBuckets is the largest allowed value of worker.buckets.
const maxBuckets = 1000

// Errors lists all errors in a settings file, each with its key and, where known, its line.
type Errors []string

// Error returns the errors, one on each line.
func (e Errors) Error() string {
	return "conf: " + strings.Join(e, "\nconf: ")
}

// Load reads and validates a settings file. The error is of type Errors if the file could be read but is invalid.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "conf")
	}
	return Parse(string(data))
}

// Parse decodes and validates the text of a settings file. The error is of type Errors.
func Parse(text string) (Settings, error) {
	s := Default()
	errs := Decode(text, &s)
	errs = append(errs, s.validate()...)
	if len(errs) > 0 {
		return Settings{}, errs
	}
	return s, nil
}

// Decode decodes TOML into out. It returns an error if the text can't be decoded, and otherwise one
// for each unknown key.
func Decode(text string, out any) Errors {
	meta, err := toml.Decode(text, out)
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		return Errors{fmt.Sprintf("line %d: %s: %s", parseErr.Position.Line, parseErr.LastKey, parseErr.Message)}
	}
	if err != nil {
		return Errors{err.Error()}
	}
	var errs Errors
	for _, k := range meta.Undecoded() {
		errs = append(errs, fmt.Sprintf("line %d: %s: unknown key", LineOfKey(text, k[len(k)-1]), k))
	}
	return errs
}

// LineOfKey returns the number of the first line of text on which word is a key or a table's name, or 0.
func LineOfKey(text, word string) int {
	for i, l := range strings.Split(text, "\n") {
		l = strings.TrimLeft(l, " \t[")
		if rest, ok := strings.CutPrefix(l, word); ok {
			if rest = strings.TrimLeft(rest, " \t"); rest == "" || strings.ContainsAny(rest[:1], "=].") {
				return i + 1
			}
		}
	}
	return 0
}

// validate returns an error for each invalid value.
func (s Settings) validate() Errors {
	var errs Errors
	for _, a := range []struct{ key, addr string }{
		{"listen.caller", s.Listen.Caller}, {"listen.peer", s.Listen.Peer}, {"listen.admin", s.Listen.Admin},
	} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			errs = append(errs, fmt.Sprintf("%s: %q is not host:port", a.key, a.addr))
		}
	}
	for _, a := range []struct{ key, url string }{{"store.url", s.Store.URL}, {"hosts.url", s.Hosts.URL}} {
		if u, err := url.Parse(a.url); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			errs = append(errs, fmt.Sprintf("%s: %q is not an http address", a.key, a.url))
		}
	}
	for _, d := range []struct {
		key string
		d   time.Duration
	}{
		{"store.timeout", s.Store.Timeout}, {"store.lease", s.Store.LeaseTTL}, {"store.wait", s.Store.WatchTimeout},
		{"hosts.every", s.Hosts.Interval}, {"peer.beat", s.Peer.HeartbeatInterval}, {"peer.timeout", s.Peer.Timeout},
		{"limit.read", s.Limit.ReadTimeout}, {"limit.keep", s.Limit.RequestIDRetention}, {"stop.grace", s.Stop.Grace},
		{"worker.lease", s.Worker.LeaseTTL}, {"worker.poll", s.Worker.PollInterval}, {"worker.fresh", s.Worker.MaxConfigAge},
	} {
		if d.d <= 0 {
			errs = append(errs, fmt.Sprintf("%s: must be above 0, is %s", d.key, d.d))
		}
	}
	if s.Store.LeaseTTL < 3*s.Store.Timeout {
		errs = append(errs, "store.lease: must be at least three times store.timeout, or one slow call loses the lease")
	}
	if s.Limit.MaxRequestBytes <= 0 || s.Limit.MaxAnswerBytes <= 0 {
		errs = append(errs, "limit.body, limit.answer: must be above 0")
	}
	if least := intake.MinBudget(s.Limit.MaxRequestBytes); s.Limit.BodiesBytes != 0 && s.Limit.BodiesBytes < least {
		errs = append(errs, fmt.Sprintf("limit.bodies: must be 0 or at least %d for a request of limit.body, is %d", least, s.Limit.BodiesBytes))
	}
	if s.Limit.MaxCallers < 0 {
		errs = append(errs, fmt.Sprintf("limit.callers: must not be below 0, is %d", s.Limit.MaxCallers))
	}
	if s.Worker.Buckets < 1 || s.Worker.Buckets > maxBuckets {
		errs = append(errs, fmt.Sprintf("worker.buckets: must be 1 to %d, is %d", maxBuckets, s.Worker.Buckets))
	}
	return append(errs, s.Log.validate()...)
}

// validate returns an error if the level is unknown.
func (l Log) validate() Errors {
	switch l.Level {
	case "debug", "info", "warn", "error":
		return nil
	}
	return Errors{fmt.Sprintf("log.level: %q is none of debug, info, warn, error", l.Level)}
}
