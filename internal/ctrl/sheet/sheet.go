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
	Job     []JobKind `toml:"job"`
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

// JobKind declares a kind of batch work and the failure domains that it may use.
type JobKind struct {
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
	defaultSlots    = 8
	defaultMaxConns = 60
	defaultTimeout  = 10 * time.Second
	defaultMaxWait  = 500 * time.Millisecond
)

// Parse reads and checks the text of a sheet; the error is conf.Faults.
func Parse(text string) (Sheet, error) {
	var s Sheet
	faults := conf.Decode(text, &s)
	s.applyDefaults()
	faults = append(faults, s.validate(text)...)
	if len(faults) > 0 {
		return Sheet{}, faults
	}
	return s, nil
}

func (s *Sheet) applyDefaults() {
	for i := range s.Service {
		v := &s.Service[i]
		if v.Slots == 0 {
			v.Slots = defaultSlots
		}
		if v.Conns == 0 {
			v.Conns = defaultMaxConns
		}
		if v.Timeout == 0 {
			v.Timeout = defaultTimeout
		}
		if v.Wait == 0 {
			v.Wait = defaultMaxWait
		}
	}
}

func (s Sheet) validate(text string) conf.Errors {
	c := validator{text: text, declaredZones: map[string]bool{}, declared: map[string]bool{}}
	if len(s.Zone) == 0 {
		c.addError("zone", "", "the sheet declares no failure domain; an empty or truncated sheet changes nothing")
	}
	for _, z := range s.Zone {
		c.checkName("zone", z.Name)
		c.declaredZones[z.Name] = true
	}
	for _, v := range s.Service {
		c.checkName("service", v.Name)
		c.checkZones("service", v.Name, v.Zones)
		if v.Slots < 0 || v.Conns < v.Slots {
			c.addError("service", v.Name, fmt.Sprintf("slots %d and conns %d: conns must be at least slots, both above 0", v.Slots, v.Conns))
		}
		if v.Timeout < 0 || v.Wait < 0 {
			c.addError("service", v.Name, "timeout and wait must be above 0")
		}
	}
	for _, j := range s.Job {
		c.checkName("job", j.Name)
		c.checkZones("job", j.Name, j.Zones)
	}
	for _, t := range s.Team {
		c.checkName("team", t.Name)
		if t.Quota < 0 {
			c.addError("team", t.Name, "quota must not be below 0")
		}
	}
	return c.errs
}

type validator struct {
	text          string
	declaredZones map[string]bool
	declared      map[string]bool
	errs          conf.Errors
}

func (c *validator) addError(kind, name, why string) {
	c.errs = append(c.errs, fmt.Sprintf("line %d: %s %q: %s", c.lineOf(kind, name), kind, name, why))
}

// lineOf finds the lineOf that names the thing, or its table's first lineOf.
func (c *validator) lineOf(kind, name string) int {
	if name != "" {
		for i, l := range strings.Split(c.text, "\n") {
			if strings.Contains(l, `"`+name+`"`) && strings.HasPrefix(strings.TrimSpace(l), "name") {
				return i + 1
			}
		}
	}
	return conf.LineOfKey(c.text, kind)
}

func (c *validator) checkName(kind, name string) {
	switch {
	case name == "":
		c.addError(kind, name, "name is missing")
	case strings.ContainsAny(name, "/ \t\n"):
		c.addError(kind, name, "a name has no spaces and no slash")
	case c.declared[kind+"/"+name]:
		c.addError(kind, name, "declared twice")
	}
	c.declared[kind+"/"+name] = true
}

func (c *validator) checkZones(kind, name string, zones []string) {
	if len(zones) == 0 {
		c.addError(kind, name, "zones is missing: name the failure domains that it may use")
	}
	for _, z := range zones {
		if !c.declaredZones[z] {
			c.addError(kind, name, fmt.Sprintf("zones: %q is not declared", z))
		}
	}
}

// FindService returns the service with the name.
func (s Sheet) FindService(service string) (Service, bool) {
	i := slices.IndexFunc(s.Service, func(v Service) bool { return v.Name == service })
	if i < 0 {
		return Service{}, false
	}
	return s.Service[i], true
}

// FindJobKind returns the declaration of a kind of job.
func (s Sheet) FindJobKind(job string) (JobKind, bool) {
	i := slices.IndexFunc(s.Job, func(j JobKind) bool { return j.Name == job })
	if i < 0 {
		return JobKind{}, false
	}
	return s.Job[i], true
}
