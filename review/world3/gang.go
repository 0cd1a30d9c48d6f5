package world3

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	gangTimeout  = 3 * time.Second
	saveInterval = time.Second
)

// member is a run of a gang.
type member struct {
	r *Runner
	x *run
}

// gang is what the runners know of one run of a gang.
type gang struct {
	work   time.Duration // done together
	formed int           // members that were seen at most
}

// WatchGangs lets gangs work while all members of a run are there. All of these carry the same checkpoint.
func (f *Fleet) WatchGangs() {
	gangs := map[string]*gang{}
	last := time.Now()
	for {
		time.Sleep(tick)
		now := time.Now()
		f.stepGangs(gangs, now, now.Sub(last))
		last = now
	}
}

// stepGangs lets the gangs work for a time.
func (f *Fleet) stepGangs(gangs map[string]*gang, now time.Time, d time.Duration) {
	for _, r := range f.Runners {
		r.mu.Lock()
		defer r.mu.Unlock()
	}
	members := map[string][]member{}
	for _, r := range f.Runners {
		for _, x := range r.runs {
			if r.up && x.step.Gang {
				key := x.task[:strings.LastIndex(x.task, ".")] + "#" + strconv.FormatInt(x.number, 10)
				members[key] = append(members[key], member{r, x})
			}
		}
	}
	for key, all := range members {
		g := gangs[key]
		if g == nil {
			ms, _ := strconv.ParseInt(all[0].x.from, 16, 64) // empty: from the beginning
			g = &gang{work: time.Duration(ms) * time.Millisecond}
			gangs[key] = g
		}
		step := all[0].x.step
		same := true
		for _, m := range all {
			same = same && m.x.from == all[0].x.from
		}
		switch {
		case len(all) < g.formed:
			endAll(all, "broken")
		case len(all) == step.Count && same:
			g.formed = len(all)
			g.work += d
			if saved := g.work.Truncate(saveInterval); saved > 0 {
				for _, m := range all {
					m.x.saved = fmt.Sprintf("%08x", saved.Milliseconds())
				}
			}
			if g.work >= time.Duration(step.TaskMs)*time.Millisecond {
				endAll(all, "done")
			}
		default:
			g.formed = len(all)
			for _, m := range all {
				if now.Sub(m.x.began) > gangTimeout {
					m.r.end(m.x, "alone")
				}
			}
		}
	}
}

// endAll ends the runs of a gang. The caller holds the locks of all runners.
func endAll(all []member, how string) {
	for _, m := range all {
		m.r.end(m.x, how)
	}
}
