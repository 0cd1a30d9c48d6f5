package sheet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bramleysail.example/bramleysail/internal/base/conf"
)

// Sheet is the operators' intent: what is to be served and run, and where. They write it in TOML.
type Sheet struct {
	Base    uint64    `toml:"base"`    // version of the configuration that the sheet is based on
	Zone    []Zone    `toml:"zone"`    // failure domains
	Service []Service `toml:"service"` // latency-critical services
	Job     []JobKind `toml:"job"`     // kinds of batch jobs
	Team    []Team    `toml:"team"`    // teams
}

// Zone declares a failure domain.
type Zone struct {
	Name string `toml:"name"`
}

// Service declares a latency-critical service.
type Service struct {
	Name    string        `toml:"name"`
	Zones   []string      `toml:"zones"`   // failure domains that it may use
	Slots   int           `toml:"slots"`   // number of requests that each target processes at a time
	Conns   int           `toml:"conns"`   // number of connections that each target accepts from all entry processes together
	Timeout time.Duration `toml:"timeout"` // longest time from a request's arrival to its answer, and so also that it runs at a target
	Wait    time.Duration `toml:"wait"`    // longest time that a request waits in the queue
	Leaving []string      `toml:"leaving"` // addresses of targets that are to get no new requests
}

// JobKind declares a kind of batch job.
type JobKind struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"` // failure domains that its tasks may use
	Team  string   `toml:"team"`  // the team that it belongs to
}

// Team declares a team.
type Team struct {
	Name  string `toml:"name"`
	Quota int    `toml:"quota"` // CPU quota in millicores; 0 means no limit
}

// Values of the fields of a service that a sheet leaves out.
const (
	defaultSlots    = 8
	defaultMaxConns = 60
	defaultTimeout  = 10 * time.Second
	defaultMaxWait  = 500 * time.Millisecond
)

// Parse decodes and validates the text of a sheet. The error is of type conf.Errors.
func Parse(text string) (Sheet, error) {
	var s Sheet
	errs := conf.Decode(text, &s)
	s.applyDefaults()
	errs = append(errs, s.validate(text)...)
	if len(errs) > 0 {
		return Sheet{}, errs
	}
	return s, nil
}

// applyDefaults sets the fields of services that the sheet leaves out or sets to 0.
func (s *Sheet) applyDefaults() {
	for i := range s.Service {
		service := &s.Service[i]
		if service.Slots == 0 {
			service.Slots = defaultSlots
		}
		if service.Conns == 0 {
			service.Conns = defaultMaxConns
		}
		if service.Timeout == 0 {
			service.Timeout = defaultTimeout
		}
		if service.Wait == 0 {
			service.Wait = defaultMaxWait
		}
	}
}

// validate returns all errors in the sheet; text is the sheet as written, for the numbers of the lines.
func (s Sheet) validate(text string) conf.Errors {
	v := validator{text: text, declaredZones: map[string]bool{}, declared: map[string]bool{}}
	if len(s.Zone) == 0 {
		v.addError("zone", "", "the sheet declares no failure domain; an empty or truncated sheet changes nothing")
	}
	for _, z := range s.Zone {
		v.checkName("zone", z.Name)
		v.declaredZones[z.Name] = true
	}
	for _, service := range s.Service {
		v.checkName("service", service.Name)
		v.checkZones("service", service.Name, service.Zones)
		if service.Slots < 0 || service.Conns < service.Slots {
			v.addError("service", service.Name, fmt.Sprintf("slots %d and conns %d: conns must be at least slots, both above 0", service.Slots, service.Conns))
		}
		if service.Timeout < 0 || service.Wait < 0 {
			v.addError("service", service.Name, "timeout and wait must be above 0")
		}
	}
	for _, j := range s.Job {
		v.checkName("job", j.Name)
		v.checkZones("job", j.Name, j.Zones)
	}
	for _, t := range s.Team {
		v.checkName("team", t.Name)
		if t.Quota < 0 {
			v.addError("team", t.Name, "quota must not be below 0")
		}
	}
	return v.errs
}

// validator collects the errors in a sheet.
type validator struct {
	text          string          // the sheet as written
	declaredZones map[string]bool // failure domains declared so far
	declared      map[string]bool // names declared so far, as kind/name
	errs          conf.Errors     // found so far
}

// addError adds an error in the declaration of a name, with the number of its line.
func (v *validator) addError(kind, name, why string) {
	v.errs = append(v.errs, fmt.Sprintf("line %d: %s %q: %s", v.lineOf(kind, name), kind, name, why))
}

// lineOf returns the number of the line that declares the name, or of the first table of its kind if there is none.
func (v *validator) lineOf(kind, name string) int {
	if name != "" {
		for i, l := range strings.Split(v.text, "\n") {
			if strings.Contains(l, `"`+name+`"`) && strings.HasPrefix(strings.TrimSpace(l), "name") {
				return i + 1
			}
		}
	}
	return conf.LineOfKey(v.text, kind)
}

// checkName checks that a declared name is present, well formed and unique among its kind.
func (v *validator) checkName(kind, name string) {
	switch {
	case name == "":
		v.addError(kind, name, "name is missing")
	case strings.ContainsAny(name, "/ \t\n"):
		v.addError(kind, name, "a name has no spaces and no slash")
	case v.declared[kind+"/"+name]:
		v.addError(kind, name, "declared twice")
	}
	v.declared[kind+"/"+name] = true
}

// checkZones checks that a declaration names failure domains and that these are declared.
func (v *validator) checkZones(kind, name string, zones []string) {
	if len(zones) == 0 {
		v.addError(kind, name, "zones is missing: name the failure domains that it may use")
	}
	for _, z := range zones {
		if !v.declaredZones[z] {
			v.addError(kind, name, fmt.Sprintf("zones: %q is not declared", z))
		}
	}
}

// FindService returns the declaration of a service, and whether there is one.
func (s Sheet) FindService(service string) (Service, bool) {
	i := slices.IndexFunc(s.Service, func(v Service) bool { return v.Name == service })
	if i < 0 {
		return Service{}, false
	}
	return s.Service[i], true
}

// FindJobKind returns the declaration of a kind of job, and whether there is one.
func (s Sheet) FindJobKind(kind string) (JobKind, bool) {
	i := slices.IndexFunc(s.Job, func(j JobKind) bool { return j.Name == kind })
	if i < 0 {
		return JobKind{}, false
	}
	return s.Job[i], true
}
