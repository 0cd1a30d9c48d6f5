package conf

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// HostSettings is what a process on the platform is told.
type HostSettings struct {
	Name        string     `toml:"name"`
	Zone        string     `toml:"zone"`
	Listen      HostListen `toml:"listen"`
	Store       HostStore  `toml:"store"`
	Bound       Bound      `toml:"bound"`
	Limit       HostLimit  `toml:"limit"`
	Log         Log        `toml:"log"`
	MetricsAddr string     `toml:"metrics"` // host:port
}

// HostListen holds the addresses (host:port) on which the process listens.
type HostListen struct {
	Caller string `toml:"caller"`
	Ready  string `toml:"ready"`
	Peer   string `toml:"peer"`
}

// HostStore says where the platform's key-value service is, and the shortest lease there.
type HostStore struct {
	Addr           string `toml:"addr"`
	MinLeaseMillis int    `toml:"least"` // milliseconds
}

// Bound holds times that the operators promise or ask for, in milliseconds or, where the
// name says so, seconds.
type Bound struct {
	MaxWorkerLeaseMillis int     `toml:"hold"`  // longest lease of what runs on a worker
	MaxStopMillis        int     `toml:"stop"`  // longest time that a worker takes to stop a run
	GraceSeconds         float64 `toml:"grace"` // seconds from SIGTERM to SIGKILL
	JobRetentionSeconds  float64 `toml:"keep"`  // seconds for which an ended job is known
}

// HostLimit is what the machine gives the process; 0: not known.
type HostLimit struct {
	CPUShare  float64 `toml:"share"`  // of a core
	CoreSpeed float64 `toml:"cores"`  // how many times as fast as one core
	MemoryMiB float64 `toml:"memory"` // MiB
	MaxFiles  float64 `toml:"files"`  // open descriptors
	LinkMbps  float64 `toml:"link"`   // Mbit/s
}

// Milliseconds returns n milliseconds.
func Milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Seconds returns s seconds.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// LoadHost reads and checks a settings file; the error is Faults when the file was read but is wrong.
func LoadHost(path string) (HostSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return HostSettings{}, errors.Wrap(err, "conf")
	}
	return ParseHost(string(data))
}

// ParseHost reads and checks the text of a settings file.
func ParseHost(text string) (HostSettings, error) {
	h := HostSettings{Log: Log{"info"}}
	faults := Decode(text, &h)
	faults = append(faults, h.validate()...)
	if len(faults) > 0 {
		return HostSettings{}, faults
	}
	return h, nil
}

func (h HostSettings) validate() Errors {
	var f Errors
	for _, a := range []struct{ key, addr string }{
		{"listen.caller", h.Listen.Caller}, {"listen.ready", h.Listen.Ready}, {"listen.peer", h.Listen.Peer},
		{"store.addr", h.Store.Addr}, {"metrics", h.MetricsAddr},
	} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			f = append(f, fmt.Sprintf("%s: %q is not host:port", a.key, a.addr))
		}
	}
	for _, b := range []struct {
		key   string
		value float64
	}{
		{"store.least", float64(h.Store.MinLeaseMillis)}, {"bound.hold", float64(h.Bound.MaxWorkerLeaseMillis)}, {"bound.stop", float64(h.Bound.MaxStopMillis)},
		{"bound.grace", h.Bound.GraceSeconds}, {"bound.keep", h.Bound.JobRetentionSeconds},
	} {
		if b.value <= 0 {
			f = append(f, fmt.Sprintf("%s: must be above 0, is %v", b.key, b.value))
		}
	}
	for _, l := range []struct {
		key   string
		value float64
	}{
		{"limit.share", h.Limit.CPUShare}, {"limit.cores", h.Limit.CoreSpeed}, {"limit.memory", h.Limit.MemoryMiB},
		{"limit.files", h.Limit.MaxFiles}, {"limit.link", h.Limit.LinkMbps},
	} {
		if !(l.value >= 0) {
			f = append(f, fmt.Sprintf("%s: must not be below 0, is %v", l.key, l.value))
		}
	}
	if h.Name == "" {
		f = append(f, "name: must not be empty")
	}
	return append(f, h.Log.validate()...)
}
