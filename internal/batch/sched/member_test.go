package sched

import (
	"reflect"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

// Guards against a change of a worker's entry that is taken for none because a field isn't compared.
func TestMemberEqual(t *testing.T) {
	full := Member{Incarnation{"w", 1}, "s", "h:1", "z", []string{"l"}, "r", wire.Size{CPU: 1, Mem: 1, Accel: 1}, true, time.Second, true}
	if !full.equal(full) {
		t.Error("a member differs from itself")
	}
	for i := range reflect.TypeFor[Member]().NumField() {
		changed := full
		reflect.ValueOf(&changed).Elem().Field(i).SetZero()
		if full.equal(changed) {
			t.Errorf("a change of %s isn't noticed", reflect.TypeFor[Member]().Field(i).Name)
		}
	}
}

// Guards against changes of the directory, passed on one by one, that leave the core with other workers than the whole
// list would.
func TestUpdateMembers(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	list := []Member{{Incarnation: Incarnation{"w0", 1}}, {Incarnation: Incarnation{"w1", 1}}}
	c := New(Options{}, now)
	c.UpdateDirectory(now, list)
	for _, tt := range []struct {
		name       string
		changed    []Member
		removed    []string
		listed     []string
		drainUntil time.Time // of w0
	}{
		{"drains", []Member{{Incarnation: Incarnation{"w0", 1}, Draining: true, DrainRemaining: time.Minute}}, nil, []string{"w0", "w1"}, now.Add(time.Second + time.Minute)},
		{"drains, read again", []Member{{Incarnation: Incarnation{"w0", 1}, Draining: true, DrainRemaining: time.Minute}}, nil, []string{"w0", "w1"}, now.Add(time.Second + time.Minute)},
		{"other one gone", nil, []string{"w1"}, []string{"w0"}, now.Add(time.Second + time.Minute)},
		{"unknown one gone", nil, []string{"w7"}, []string{"w0"}, now.Add(time.Second + time.Minute)},
		{"back under another key", []Member{{Incarnation: Incarnation{"w1", 2}}}, []string{"w1"}, []string{"w0", "w1"}, now.Add(time.Second + time.Minute)},
		{"drain ended", []Member{{Incarnation: Incarnation{"w0", 1}}}, nil, []string{"w0", "w1"}, time.Time{}},
		{"drains again", []Member{{Incarnation: Incarnation{"w0", 1}, Draining: true, DrainRemaining: time.Minute}}, nil, []string{"w0", "w1"}, now.Add(7*time.Second + time.Minute)},
		{"restarted, drains", []Member{{Incarnation: Incarnation{"w0", 2}, Draining: true, DrainRemaining: 5 * time.Second}}, nil, []string{"w0", "w1"}, now.Add(8*time.Second + 5*time.Second)},
		{"entry of the former incarnation", []Member{{Incarnation: Incarnation{"w0", 1}}}, nil, []string{"w0", "w1"}, now.Add(8*time.Second + 5*time.Second)},
	} {
		now = now.Add(time.Second)
		c.UpdateMembers(now, tt.changed, tt.removed)
		var listed []string
		for _, w := range c.workersByID {
			if w.listed {
				listed = append(listed, w.ID)
			}
		}
		if !reflect.DeepEqual(listed, tt.listed) || !c.workers["w0"].drainUntil.Equal(tt.drainUntil) {
			t.Errorf("%s: listed %v, drain until %v; want %v and %v", tt.name, listed, c.workers["w0"].drainUntil, tt.listed, tt.drainUntil)
		}
	}
}
