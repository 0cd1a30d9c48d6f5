package sheet

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/plat/store"
)

var (
	// ErrConflict says that the configuration has changed since; its text names the differences.
	ErrConflict = errors.New("sheet: conflict")
	// ErrUnconfirmedRemoval says that a sheet drops half or more of what is declared and was not confirmed.
	ErrUnconfirmedRemoval = errors.New("sheet: shrunken")
	// ErrUnknownZone says that a failure domain is not declared.
	ErrUnknownZone = errors.New("sheet: unknown failure domain")
)

const configKey = "config"

// Config is the configuration in force: the sheet and the failure domains that
// operators have taken out.
type Config struct {
	WriteID        string            `json:"id"`   // of the write, so that a lost answer can be settled
	PastWrites     []string          `json:"past"` // the ids of the writes before, for the same reason
	Version        uint64            `json:"num"`  // grows by one with each change
	SheetText      string            `json:"text"` // of the sheet
	EvacuatedZones map[string]uint64 `json:"out"`  // failure domains that are out, and the number that took them out
	rev            uint64
	sheet          Sheet
}

// Sheet returns the sheet, checked.
func (c Config) Sheet() Sheet { return c.sheet }

// IsZoneUsable reports whether anything may start in the failure domain.
func (c Config) IsZoneUsable(zone string) bool {
	_, out := c.EvacuatedZones[zone]
	return !out
}

func decodeConfig(e store.Entry) (Config, error) {
	var c Config
	if err := json.Unmarshal(e.Value, &c); err != nil {
		return Config{}, errors.Wrap(err, "sheet")
	}
	c.rev = e.Rev
	if c.SheetText != "" {
		s, err := Parse(c.SheetText)
		if err != nil {
			return Config{}, err
		}
		c.sheet = s
	}
	return c, nil
}

// LoadConfig reads the configuration in force; before the first change it is empty.
func LoadConfig(ctx context.Context, s store.Store) (Config, error) {
	e, err := s.Get(ctx, configKey)
	if errors.Is(err, store.ErrNotFound) {
		return Config{}, nil
	}
	if err != nil {
		return Config{}, err
	}
	return decodeConfig(e)
}

// PutSheet makes text the sheet in force if its base is the configuration in force.
//
// It guards against a sheet that was drawn up before an operator's move and would
// undo it without anybody wanting that: its base is older and it is refused with
// the differences.
func PutSheet(ctx context.Context, s store.Store, text string, confirm bool) (Config, error) {
	sheet, err := Parse(text)
	if err != nil {
		return Config{}, err
	}
	now, err := LoadConfig(ctx, s)
	if err != nil {
		return Config{}, err
	}
	if sheet.Base != now.Version {
		return Config{}, errors.Wrap(ErrConflict, fmt.Sprintf(
			"the sheet was drawn from configuration %d, in force is %d%s; differences:\n%s",
			sheet.Base, now.Version, now.evacuatedText(), DiffLines(now.SheetText, text)))
	}
	if !confirm && removesHalf(now.sheet, sheet) {
		return Config{}, errors.Wrap(ErrUnconfirmedRemoval, fmt.Sprintf(
			"it declares %d of %d services, jobs, teams and failure domains; confirm if that is meant",
			sheet.declarationCount(), now.sheet.declarationCount()))
	}
	next := now
	next.SheetText, next.sheet = text, sheet
	return next.writeConfig(ctx, s)
}

func (c Config) evacuatedText() string {
	if len(c.EvacuatedZones) == 0 {
		return ""
	}
	return " (out: " + strings.Join(slices.Sorted(maps.Keys(c.EvacuatedZones)), ", ") + ")"
}

func (s Sheet) declarationCount() int {
	return len(s.Zone) + len(s.Service) + len(s.Job) + len(s.Team)
}

func removesHalf(old, next Sheet) bool {
	return old.declarationCount() >= 4 && 2*next.declarationCount() <= old.declarationCount()
}

// SetZoneEvacuated takes a failure domain out or brings it back; repeating it changes nothing.
func SetZoneEvacuated(ctx context.Context, s store.Store, zone string, out bool) (Config, error) {
	now, err := LoadConfig(ctx, s)
	if err != nil {
		return Config{}, err
	}
	if !slices.ContainsFunc(now.sheet.Zone, func(z Zone) bool { return z.Name == zone }) {
		return Config{}, errors.Wrap(ErrUnknownZone, zone)
	}
	if now.IsZoneUsable(zone) != out {
		return now, nil
	}
	next := now
	next.EvacuatedZones = maps.Clone(now.EvacuatedZones)
	if next.EvacuatedZones == nil {
		next.EvacuatedZones = map[string]uint64{}
	}
	if out {
		next.EvacuatedZones[zone] = now.Version + 1
	} else {
		delete(next.EvacuatedZones, zone)
	}
	return next.writeConfig(ctx, s)
}

// maxPastWrites is how many writes back a lost answer can be settled.
const maxPastWrites = 32

func (c Config) writeConfig(ctx context.Context, s store.Store) (Config, error) {
	c.PastWrites = append([]string{c.WriteID}, c.PastWrites...)
	c.PastWrites = c.PastWrites[:min(len(c.PastWrites), maxPastWrites)]
	c.WriteID, c.Version = uuid.NewString(), c.Version+1
	value, err := json.Marshal(c)
	if err != nil {
		return Config{}, errors.Wrap(err, "sheet")
	}
	err = store.SwapWithRetry(ctx, s, configKey, value, c.rev, c.includedIn)
	if errors.Is(err, store.ErrConflict) {
		return Config{}, errors.Wrap(ErrConflict, "another operator changed the configuration at the same time; read it and try again")
	}
	if err != nil {
		return Config{}, err
	}
	return c, nil
}

// includedIn reports whether a stored configuration is this one or was built on it.
func (c Config) includedIn(stored []byte) bool {
	var now Config
	return json.Unmarshal(stored, &now) == nil && (now.WriteID == c.WriteID || slices.Contains(now.PastWrites, c.WriteID))
}

// DiffLines lists the lines that stand only in the old (-) or only in the new text (+).
func DiffLines(old, next string) string {
	a, b := strings.Split(old, "\n"), strings.Split(next, "\n")
	var out strings.Builder
	for _, l := range a {
		if !slices.Contains(b, l) {
			fmt.Fprintf(&out, "- %s\n", l)
		}
	}
	for _, l := range b {
		if !slices.Contains(a, l) {
			fmt.Fprintf(&out, "+ %s\n", l)
		}
	}
	return out.String()
}

// ConfigWatcher follows the configuration in force.
type ConfigWatcher struct {
	store        store.Store
	watchTimeout time.Duration // of one watch
	onChange     func(Config)
	log          logr.Logger

	mu              sync.Mutex
	current         Config
	confirmedAt     time.Time
	notifiedVersion uint64 // the number of the configuration that changed was last called with
	notifying       bool   // changed is being called
}

// NewConfigWatcher returns a feed that calls changed on each new configuration, one call at a time.
func NewConfigWatcher(s store.Store, hold time.Duration, changed func(Config), log logr.Logger) *ConfigWatcher {
	return &ConfigWatcher{store: s, watchTimeout: hold, onChange: changed, log: log}
}

// Current returns the latest configuration seen.
func (f *ConfigWatcher) Current() Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// ConfirmationAge returns how long ago the configuration was last confirmed to be in force.
func (f *ConfigWatcher) ConfirmationAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedAt.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return time.Since(f.confirmedAt)
}

// Run follows until ctx ends. A watch that stays silent confirms nothing, so a plain
// read goes beside it, often enough that the age stays below confirm.
func (f *ConfigWatcher) Run(ctx context.Context, confirm time.Duration) {
	var wg sync.WaitGroup
	wg.Go(func() { f.readLoop(ctx, f.watchTimeout, 0) })
	wg.Go(func() { f.readLoop(ctx, 0, confirm/3) })
	wg.Wait()
}

func (f *ConfigWatcher) readLoop(ctx context.Context, hold, pause time.Duration) {
	var after uint64
	for ctx.Err() == nil {
		began := time.Now()
		p, err := f.store.List(ctx, configKey, after, hold)
		if err == nil {
			f.applyListing(p, began, hold == 0)
			if hold > 0 {
				after = p.Rev
			}
		}
		rest := pause
		if err != nil {
			rest = max(pause, retryInterval)
		}
		wait.For(ctx, rest)
	}
}

const retryInterval = 250 * time.Millisecond

// applyListing adopts a newer configuration. A lower number than one seen before is never
// applied, whichever answer arrives late.
func (f *ConfigWatcher) applyListing(p store.Listing, began time.Time, confirms bool) {
	var next Config
	for _, e := range p.Entries {
		if e.Key != configKey {
			continue
		}
		c, err := decodeConfig(e)
		if err != nil {
			f.log.Error(err, "configuration not read; the last one stays in force", "rev", e.Rev)
			return
		}
		next = c
	}
	f.applyConfig(next, began, confirms)
}

// ApplyWritten takes in a configuration that was written through this process, ahead of the reads.
// It confirms nothing: the start of the write doesn't tell when it took effect.
func (f *ConfigWatcher) ApplyWritten(c Config) {
	f.applyConfig(c, time.Time{}, false)
}

func (f *ConfigWatcher) applyConfig(next Config, began time.Time, confirms bool) {
	f.mu.Lock()
	newer := next.Version > f.current.Version
	if newer {
		f.current = next
	}
	if (confirms || newer) && began.After(f.confirmedAt) {
		f.confirmedAt = began
	}
	f.mu.Unlock()
	f.notifyChange()
}

// notifyChange calls changed until it has been called with the latest configuration. A call that
// comes while another is at it leaves the rest to that one.
func (f *ConfigWatcher) notifyChange() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.notifying {
		return
	}
	f.notifying = true
	for f.notifiedVersion < f.current.Version {
		c := f.current
		f.notifiedVersion = c.Version
		f.mu.Unlock()
		f.log.Info("configuration in force", "num", c.Version, "out", c.evacuatedText())
		f.onChange(c)
		f.mu.Lock()
	}
	f.notifying = false
}
