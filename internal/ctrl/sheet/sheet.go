package sheet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bramleysail.example/bramleysail/internal/base/conf"
)

// Sheet is the day's intent as operators write it, in TOML.
type Sheet struct {
	Base    uint64    `toml:"base"` // number of the configuration that it was drawn from
	Zone    []Zone    `toml:"zone"`
	Service []Service `toml:"service"`
	Job     []Job     `toml:"job"`
	Team    []Team    `toml:"team"`
}

// Zone declares a failure domain.
type Zone struct {
	Name string `toml:"name"`
}

// Service declares a latency-critical service.
type Service struct {
	Name    string        `toml:"name"`
	Zones   []string      `toml:"zones"`
	Slots   int           `toml:"slots"` // of each target
	Conns   int           `toml:"conns"` // of each target, shared by all entry processes
	Timeout time.Duration `toml:"timeout"`
	Wait    time.Duration `toml:"wait"` // longest in the queue
	Leaving []string      `toml:"leaving"`
}

// Job declares a kind of batch work and the failure domains that it may use.
type Job struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"`
	Team  string   `toml:"team"`
}

// Team declares a team and its quota in millicores; 0 means no limit.
type Team struct {
	Name  string `toml:"name"`
	Quota int    `toml:"quota"`
}

const (
	defaultSlots   = 8
	defaultConns   = 60
	defaultTimeout = 10 * time.Second
	defaultWait    = 500 * time.Millisecond
)

// Parse reads and checks the text of a sheet; the error is conf.Faults.
func Parse(text string) (Sheet, error) {
	var s Sheet
	faults := conf.Decode(text, &s)
	s.fill()
	faults = append(faults, s.check(text)...)
	if len(faults) > 0 {
		return Sheet{}, faults
	}
	return s, nil
}

func (s *Sheet) fill() {
	for i := range s.Service {
		v := &s.Service[i]
		if v.Slots == 0 {
			v.Slots = defaultSlots
		}
		if v.Conns == 0 {
			v.Conns = defaultConns
		}
		if v.Timeout == 0 {
			v.Timeout = defaultTimeout
		}
		if v.Wait == 0 {
			v.Wait = defaultWait
		}
	}
}

func (s Sheet) check(text string) conf.Errors {
	c := checker{text: text, zones: map[string]bool{}, seen: map[string]bool{}}
	if len(s.Zone) == 0 {
		c.fault("zone", "", "the sheet declares no failure domain; an empty or truncated sheet changes nothing")
	}
	for _, z := range s.Zone {
		c.name("zone", z.Name)
		c.zones[z.Name] = true
	}
	for _, v := range s.Service {
		c.name("service", v.Name)
		c.uses("service", v.Name, v.Zones)
		if v.Slots < 0 || v.Conns < v.Slots {
			c.fault("service", v.Name, fmt.Sprintf("slots %d and conns %d: conns must be at least slots, both above 0", v.Slots, v.Conns))
		}
		if v.Timeout < 0 || v.Wait < 0 {
			c.fault("service", v.Name, "timeout and wait must be above 0")
		}
	}
	for _, j := range s.Job {
		c.name("job", j.Name)
		c.uses("job", j.Name, j.Zones)
	}
	for _, t := range s.Team {
		c.name("team", t.Name)
		if t.Quota < 0 {
			c.fault("team", t.Name, "quota must not be below 0")
		}
	}
	return c.faults
}

type checker struct {
	text   string
	zones  map[string]bool
	seen   map[string]bool
	faults conf.Errors
}

func (c *checker) fault(kind, name, why string) {
	c.faults = append(c.faults, fmt.Sprintf("line %d: %s %q: %s", c.line(kind, name), kind, name, why))
}

// line finds the line that names the thing, or its table's first line.
func (c *checker) line(kind, name string) int {
	if name != "" {
		for i, l := range strings.Split(c.text, "\n") {
			if strings.Contains(l, `"`+name+`"`) && strings.HasPrefix(strings.TrimSpace(l), "name") {
				return i + 1
			}
		}
	}
	return conf.LineOfKey(c.text, kind)
}

func (c *checker) name(kind, name string) {
	switch {
	case name == "":
		c.fault(kind, name, "name is missing")
	case strings.ContainsAny(name, "/ \t\n"):
		c.fault(kind, name, "a name has no spaces and no slash")
	case c.seen[kind+"/"+name]:
		c.fault(kind, name, "declared twice")
	}
	c.seen[kind+"/"+name] = true
}

func (c *checker) uses(kind, name string, zones []string) {
	if len(zones) == 0 {
		c.fault(kind, name, "zones is missing: name the failure domains that it may use")
	}
	for _, z := range zones {
		if !c.zones[z] {
			c.fault(kind, name, fmt.Sprintf("zones: %q is not declared", z))
		}
	}
}

// Find returns the service with the name.
func (s Sheet) Find(service string) (Service, bool) {
	i := slices.IndexFunc(s.Service, func(v Service) bool { return v.Name == service })
	if i < 0 {
		return Service{}, false
	}
	return s.Service[i], true
}

// Kind returns the declaration of a kind of job.
func (s Sheet) Kind(job string) (Job, bool) {
	i := slices.IndexFunc(s.Job, func(j Job) bool { return j.Name == job })
	if i < 0 {
		return Job{}, false
	}
	return s.Job[i], true
}
