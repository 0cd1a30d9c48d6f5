package conf

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// HostSettings holds all settings of a process on the platform.
type HostSettings struct {
	Name        string     `toml:"name"`
	Zone        string     `toml:"zone"` // failure domain
	Listen      HostListen `toml:"listen"`
	Store       HostStore  `toml:"store"`
	Bound       Bound      `toml:"bound"`
	Limit       HostLimit  `toml:"limit"`
	Log         Log        `toml:"log"`
	MetricsAddr string     `toml:"metrics"` // host:port on which metrics are served
}

// HostListen holds the addresses (host:port) on which the process listens.
type HostListen struct {
	Caller string `toml:"caller"` // for callers' requests
	Ready  string `toml:"ready"`  // for readiness probes
	Peer   string `toml:"peer"`   // for calls of other processes
}

// HostStore describes the platform's key-value service.
type HostStore struct {
	Addr           string `toml:"addr"`  // host:port
	MinLeaseMillis int    `toml:"least"` // shortest TTL of a lease, in milliseconds
}

// Bound holds time limits that the operators guarantee or require, in milliseconds or seconds
// as the names say.
type Bound struct {
	MaxWorkerLeaseMillis int     `toml:"hold"`  // longest lease of a worker's runs, in milliseconds
	MaxStopMillis        int     `toml:"stop"`  // longest time that a worker takes to stop a run, in milliseconds
	GraceSeconds         float64 `toml:"grace"` // time from SIGTERM to SIGKILL, in seconds
	JobRetentionSeconds  float64 `toml:"keep"`  // how long the state of an ended job can be queried, in seconds
}

// HostLimit holds the resources that the machine gives the process. A value of 0 means unknown.
type HostLimit struct {
	CPUShare  float64 `toml:"share"`  // CPU time, as a fraction of a core
	CoreSpeed float64 `toml:"cores"`  // speed of the processor, in multiples of one core
	MemoryMiB float64 `toml:"memory"` // memory, in MiB
	MaxFiles  float64 `toml:"files"`  // number of open file descriptors
	LinkMbps  float64 `toml:"link"`   // bandwidth of the network link, in Mbit/s

	// BodiesMiB is the memory for callers' requests in flight, in MiB; 0: a share of the memory.
	BodiesMiB float64 `toml:"bodies"`
	// MaxCallers is the number of callers' connections; 0: what memory and descriptors allow.
	MaxCallers float64 `toml:"callers"`
}

// minBodiesMiB is the least memory for requests in flight, which one of the largest size needs.
const minBodiesMiB = 6

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// LoadHost reads and validates a settings file. The error is of type Errors if the file could be read but is invalid.
func LoadHost(path string) (HostSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return HostSettings{}, errors.Wrap(err, "conf")
	}
	return ParseHost(string(data))
}

// ParseHost decodes and validates the text of a settings file. The error is of type Errors.
func ParseHost(text string) (HostSettings, error) {
	h := HostSettings{Log: Log{"info"}}
	errs := Decode(text, &h)
	errs = append(errs, h.validate()...)
	if len(errs) > 0 {
		return HostSettings{}, errs
	}
	return h, nil
}

// validate returns an error for each invalid value.
func (h HostSettings) validate() Errors {
	var errs Errors
	for _, a := range []struct{ key, addr string }{
		{"listen.caller", h.Listen.Caller}, {"listen.ready", h.Listen.Ready}, {"listen.peer", h.Listen.Peer},
		{"store.addr", h.Store.Addr}, {"metrics", h.MetricsAddr},
	} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			errs = append(errs, fmt.Sprintf("%s: %q is not host:port", a.key, a.addr))
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
			errs = append(errs, fmt.Sprintf("%s: must be above 0, is %v", b.key, b.value))
		}
	}
	for _, l := range []struct {
		key   string
		value float64
	}{
		{"limit.share", h.Limit.CPUShare}, {"limit.cores", h.Limit.CoreSpeed}, {"limit.memory", h.Limit.MemoryMiB},
		{"limit.files", h.Limit.MaxFiles}, {"limit.link", h.Limit.LinkMbps},
		{"limit.bodies", h.Limit.BodiesMiB}, {"limit.callers", h.Limit.MaxCallers},
	} {
		if !(l.value >= 0) {
			errs = append(errs, fmt.Sprintf("%s: must not be below 0, is %v", l.key, l.value))
		}
	}
	if h.Limit.BodiesMiB > 0 && h.Limit.BodiesMiB < minBodiesMiB {
		errs = append(errs, fmt.Sprintf("limit.bodies: must be 0 or at least %d, is %v", minBodiesMiB, h.Limit.BodiesMiB))
	}
	if h.Name == "" {
		errs = append(errs, "name: must not be empty")
	}
	return append(errs, h.Log.validate()...)
}
