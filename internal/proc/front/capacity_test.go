package front

import (
	"testing"

	"bramleysail.example/bramleysail/internal/base/conf"
)

func TestWorkerCapacity(t *testing.T) {
	roomy := conf.HostLimit{CPUShare: 0.8, CoreSpeed: 1, MemoryMiB: 536, MaxFiles: 8192, LinkMbps: 200}
	with := func(change func(l *conf.HostLimit)) conf.HostLimit {
		l := roomy
		change(&l)
		return l
	}
	for _, tt := range []struct {
		name   string
		l      conf.HostLimit
		slower float64
		want   int
	}{
		{"nothing known", conf.HostLimit{}, 1, 0},
		{"bound by processor", roomy, 1, 666},
		{"a tenth of a core", with(func(l *conf.HostLimit) { l.CPUShare = 0.11 }), 1, 91},
		{"two cores", with(func(l *conf.HostLimit) { l.CoreSpeed = 2 }), 1, 1333},
		{"bound by memory", with(func(l *conf.HostLimit) { l.MemoryMiB = 70 }), 1, 200},
		{"bound by descriptors", with(func(l *conf.HostLimit) { l.MaxFiles = 700 }), 1, 100},
		{"bound by link", with(func(l *conf.HostLimit) { l.LinkMbps = 1 }), 1, 50},
		{"less memory than it needs for itself", with(func(l *conf.HostLimit) { l.MemoryMiB = 16 }), 1, 1},
		{"six times slower", roomy, 6, 111},
		{"three times slower, bound by memory", with(func(l *conf.HostLimit) { l.MemoryMiB = 70 }), 3, 200},
		{"slow beyond measure", roomy, 1e9, 1},
		{"processor not known and slower", with(func(l *conf.HostLimit) { l.CPUShare = 0 }), 6, 1598},
		{"processor not known", with(func(l *conf.HostLimit) { l.CPUShare = 0 }), 1, 1598},
	} {
		if got := workerCapacity(tt.l, tt.slower); got != tt.want {
			t.Errorf("%s: %d workers, want %d", tt.name, got, tt.want)
		}
	}
}

func TestMaxWorkerConns(t *testing.T) {
	for _, tt := range []struct {
		files float64
		want  int
	}{
		{0, 0},
		{100, 1},
		{700, 395},
		{4100, 3285},
	} {
		if got := MaxWorkerConns(conf.HostLimit{MaxFiles: tt.files}); got != tt.want {
			t.Errorf("of %v descriptors %d connections, want %d", tt.files, got, tt.want)
		}
	}
}
