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
)

// Settings is everything a serving process is told; Default gives working values.
type Settings struct {
	Name   string `toml:"name"`
	Zone   string `toml:"zone"`
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
	Caller string `toml:"caller"`
	Peer   string `toml:"peer"`
	Admin  string `toml:"admin"`
}

// Store says where the platform's key-value service is and how it is used.
type Store struct {
	URL          string        `toml:"url"`
	Timeout      time.Duration `toml:"timeout"` // of one call
	LeaseTTL     time.Duration `toml:"lease"`   // of this process
	WatchTimeout time.Duration `toml:"wait"`    // of one watch
}

// Hosts says where the host list is and how often it is read.
type Hosts struct {
	URL      string        `toml:"url"`
	Interval time.Duration `toml:"every"`
}

// Peer sets the exchange among the entry processes.
type Peer struct {
	HeartbeatInterval time.Duration `toml:"beat"`    // between two heartbeats to a peer
	Timeout           time.Duration `toml:"timeout"` // of one call
}

// Limit bounds what callers may send and how long.
type Limit struct {
	MaxRequestBytes    int64         `toml:"body"`   // bytes of a request
	MaxAnswerBytes     int64         `toml:"answer"` // bytes of an answer
	ReadTimeout        time.Duration `toml:"read"`   // for a request's header and body to arrive
	RequestIDRetention time.Duration `toml:"keep"`   // how long request ids are remembered
}

// Stop sets the graceful shutdown.
type Stop struct {
	Linger time.Duration `toml:"linger"` // how long the balancer may still send
	Grace  time.Duration `toml:"grace"`  // for requests in flight to end
}

// Trace sends spans to an OTLP/HTTP collector; empty means off.
type Trace struct {
	URL string `toml:"url"`
}

// Admin protects the administration API.
type Admin struct {
	Token string `toml:"token"` // empty: no token is asked for
}

// Log sets what is logged: debug, info, warn or error.
type Log struct {
	Level string `toml:"level"`
}

// Worker sets how tasks are held on workers.
type Worker struct {
	LeaseTTL     time.Duration `toml:"lease"` // of a worker's tasks, renewed at a third of it
	PollInterval time.Duration `toml:"poll"`  // between two reports
	MaxConfigAge time.Duration `toml:"fresh"` // age of the last confirmed configuration up to which tasks start
	// Buckets is the number of records that jobs are spread over. It is the same in every
	// process and stays as it is: a job is found by it.
	Buckets int `toml:"buckets"`
}

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	return Settings{
		Listen: Listen{"127.0.0.1:8080", "127.0.0.1:8081", "127.0.0.1:8082"},
		Store:  Store{"http://127.0.0.1:8500", time.Second, 6 * time.Second, 10 * time.Second},
		Hosts:  Hosts{"http://127.0.0.1:8600", time.Second},
		Peer:   Peer{50 * time.Millisecond, 500 * time.Millisecond},
		Limit:  Limit{1 << 20, 8 << 20, 10 * time.Second, 10 * time.Minute},
		Stop:   Stop{3 * time.Second, 30 * time.Second},
		Log:    Log{"info"},
		Worker: Worker{6 * time.Second, 200 * time.Millisecond, 3 * time.Second, 16},
	}
}

const maxBuckets = 1000

// Errors lists everything that is wrong with a file, each with its key and, where known, its line.
type Errors []string

// Error returns the faults, one a line.
func (f Errors) Error() string {
	return "conf: " + strings.Join(f, "\nconf: ")
}

// Load reads and checks a settings file; the error is Faults when the file was read but is wrong.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "conf")
	}
	return Parse(string(data))
}

// Parse reads and checks the text of a settings file.
func Parse(text string) (Settings, error) {
	s := Default()
	faults := Decode(text, &s)
	faults = append(faults, s.validate()...)
	if len(faults) > 0 {
		return Settings{}, faults
	}
	return s, nil
}

// Decode reads TOML into out and returns a fault for each syntax error and unknown key.
func Decode(text string, out any) Errors {
	meta, err := toml.Decode(text, out)
	var perr toml.ParseError
	if errors.As(err, &perr) {
		return Errors{fmt.Sprintf("line %d: %s: %s", perr.Position.Line, perr.LastKey, perr.Message)}
	}
	if err != nil {
		return Errors{err.Error()}
	}
	var faults Errors
	for _, k := range meta.Undecoded() {
		faults = append(faults, fmt.Sprintf("line %d: %s: unknown key", LineOfKey(text, k[len(k)-1]), k))
	}
	return faults
}

// LineOfKey returns the number of the first line of text on which word stands as a key or table, or 0.
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

func (s Settings) validate() Errors {
	var f Errors
	for _, a := range []struct{ key, addr string }{
		{"listen.caller", s.Listen.Caller}, {"listen.peer", s.Listen.Peer}, {"listen.admin", s.Listen.Admin},
	} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			f = append(f, fmt.Sprintf("%s: %q is not host:port", a.key, a.addr))
		}
	}
	for _, a := range []struct{ key, url string }{{"store.url", s.Store.URL}, {"hosts.url", s.Hosts.URL}} {
		if u, err := url.Parse(a.url); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			f = append(f, fmt.Sprintf("%s: %q is not an http address", a.key, a.url))
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
			f = append(f, fmt.Sprintf("%s: must be above 0, is %s", d.key, d.d))
		}
	}
	if s.Store.LeaseTTL < 3*s.Store.Timeout {
		f = append(f, "store.lease: must be at least three times store.timeout, or one slow call loses the lease")
	}
	if s.Limit.MaxRequestBytes <= 0 || s.Limit.MaxAnswerBytes <= 0 {
		f = append(f, "limit.body, limit.answer: must be above 0")
	}
	if s.Worker.Buckets < 1 || s.Worker.Buckets > maxBuckets {
		f = append(f, fmt.Sprintf("worker.buckets: must be 1 to %d, is %d", maxBuckets, s.Worker.Buckets))
	}
	return append(f, s.Log.validate()...)
}

func (l Log) validate() Errors {
	switch l.Level {
	case "debug", "info", "warn", "error":
		return nil
	}
	return Errors{fmt.Sprintf("log.level: %q is none of debug, info, warn, error", l.Level)}
}
