package conf

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Host is what a process on the platform is told.
type Host struct {
	Name    string     `toml:"name"`
	Zone    string     `toml:"zone"`
	Listen  HostListen `toml:"listen"`
	Store   HostStore  `toml:"store"`
	Bound   Bound      `toml:"bound"`
	Limit   HostLimit  `toml:"limit"`
	Log     Log        `toml:"log"`
	Metrics string     `toml:"metrics"` // host:port
}

// HostListen holds the addresses (host:port) on which the process listens.
type HostListen struct {
	Caller string `toml:"caller"`
	Ready  string `toml:"ready"`
	Peer   string `toml:"peer"`
}

// HostStore says where the platform's key-value service is, and the shortest lease there.
type HostStore struct {
	Addr  string `toml:"addr"`
	Least int    `toml:"least"` // milliseconds
}

// Bound holds times that the operators promise or ask for, in milliseconds or, where the
// name says so, seconds.
type Bound struct {
	Hold  int     `toml:"hold"`  // longest lease of what runs on a worker
	Stop  int     `toml:"stop"`  // longest time that a worker takes to stop a run
	Grace float64 `toml:"grace"` // seconds from SIGTERM to SIGKILL
	Keep  float64 `toml:"keep"`  // seconds for which an ended job is known
}

// HostLimit is what the machine gives the process; 0: not known.
type HostLimit struct {
	Share  float64 `toml:"share"`  // of a core
	Cores  float64 `toml:"cores"`  // how many times as fast as one core
	Memory float64 `toml:"memory"` // MiB
	Files  float64 `toml:"files"`  // open descriptors
	Link   float64 `toml:"link"`   // Mbit/s
}

// Milliseconds returns n milliseconds.
func Milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Seconds returns s seconds.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// LoadHost reads and checks a settings file; the error is Faults when the file was read but is wrong.
func LoadHost(path string) (Host, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Host{}, errors.Wrap(err, "conf")
	}
	return ParseHost(string(data))
}

// ParseHost reads and checks the text of a settings file.
func ParseHost(text string) (Host, error) {
	h := Host{Log: Log{"info"}}
	faults := Decode(text, &h)
	faults = append(faults, h.check()...)
	if len(faults) > 0 {
		return Host{}, faults
	}
	return h, nil
}

func (h Host) check() Faults {
	var f Faults
	for _, a := range []struct{ key, addr string }{
		{"listen.caller", h.Listen.Caller}, {"listen.ready", h.Listen.Ready}, {"listen.peer", h.Listen.Peer},
		{"store.addr", h.Store.Addr}, {"metrics", h.Metrics},
	} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			f = append(f, fmt.Sprintf("%s: %q is not host:port", a.key, a.addr))
		}
	}
	for _, b := range []struct {
		key   string
		value float64
	}{
		{"store.least", float64(h.Store.Least)}, {"bound.hold", float64(h.Bound.Hold)}, {"bound.stop", float64(h.Bound.Stop)},
		{"bound.grace", h.Bound.Grace}, {"bound.keep", h.Bound.Keep},
	} {
		if b.value <= 0 {
			f = append(f, fmt.Sprintf("%s: must be above 0, is %v", b.key, b.value))
		}
	}
	for _, l := range []struct {
		key   string
		value float64
	}{
		{"limit.share", h.Limit.Share}, {"limit.cores", h.Limit.Cores}, {"limit.memory", h.Limit.Memory},
		{"limit.files", h.Limit.Files}, {"limit.link", h.Limit.Link},
	} {
		if !(l.value >= 0) {
			f = append(f, fmt.Sprintf("%s: must not be below 0, is %v", l.key, l.value))
		}
	}
	if h.Name == "" {
		f = append(f, "name: must not be empty")
	}
	return append(f, h.Log.check()...)
}
