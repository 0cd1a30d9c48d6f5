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
	// ErrConflict says that the configuration has changed since the version that a change is based on. If that is the
	// base of a sheet, the text lists the differences.
	ErrConflict = errors.New("sheet: conflict")
	// ErrUnconfirmedRemoval says that a sheet removes half or more of the declarations and the caller did not confirm
	// that.
	ErrUnconfirmedRemoval = errors.New("sheet: shrunken")
	// ErrUnknownZone says that a failure domain is not declared.
	ErrUnknownZone = errors.New("sheet: unknown failure domain")
)

// configKey is the configuration's key in the store.
const configKey = "config"

// Config is one version of the configuration: the sheet and the failure domains that operators have evacuated.
type Config struct {
	WriteID        string            `json:"id"`   // id of the write, which shows after a lost answer whether the write took effect
	PastWrites     []string          `json:"past"` // ids of the writes before, the last one first, for the same purpose
	Version        uint64            `json:"num"`  // grows by one with each change
	SheetText      string            `json:"text"` // the sheet as written
	EvacuatedZones map[string]uint64 `json:"out"`  // evacuated failure domains, each with the version that evacuated it
	rev            uint64            // revision of the record in the store
	sheet          Sheet             // decoded from SheetText
}

// Sheet returns the decoded sheet, which has passed validation.
func (c Config) Sheet() Sheet { return c.sheet }

// IsZoneUsable reports whether anything may start in the failure domain, that is whether it isn't evacuated.
func (c Config) IsZoneUsable(zone string) bool {
	_, evacuated := c.EvacuatedZones[zone]
	return !evacuated
}

// decodeConfig decodes the stored record and the sheet in it.
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

// LoadConfig reads the configuration in force. Before the first change it is the zero Config.
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

// PutSheet puts the sheet in text in force if its base is the version in force. confirm permits it to remove half or
// more of the declarations.
//
// A sheet that was written before an operator evacuated a failure domain or brought one back would undo that without
// anybody's intention. As its base is an older version, it is refused with the differences.
func PutSheet(ctx context.Context, s store.Store, text string, confirm bool) (Config, error) {
	sheet, err := Parse(text)
	if err != nil {
		return Config{}, err
	}
	current, err := LoadConfig(ctx, s)
	if err != nil {
		return Config{}, err
	}
	if sheet.Base != current.Version {
		return Config{}, errors.Wrap(ErrConflict, fmt.Sprintf(
			"the sheet was drawn from configuration %d, in force is %d%s; differences:\n%s",
			sheet.Base, current.Version, current.evacuatedText(), DiffLines(current.SheetText, text)))
	}
	if !confirm && removesHalf(current.sheet, sheet) {
		return Config{}, errors.Wrap(ErrUnconfirmedRemoval, fmt.Sprintf(
			"it declares %d of %d services, jobs, teams and failure domains; confirm if that is meant",
			sheet.declarationCount(), current.sheet.declarationCount()))
	}
	next := current
	next.SheetText, next.sheet = text, sheet
	return next.writeConfig(ctx, s)
}

// evacuatedText lists the evacuated failure domains, for messages.
func (c Config) evacuatedText() string {
	if len(c.EvacuatedZones) == 0 {
		return ""
	}
	return " (out: " + strings.Join(slices.Sorted(maps.Keys(c.EvacuatedZones)), ", ") + ")"
}

// declarationCount returns the number of failure domains, services, kinds of jobs and teams that the sheet declares.
func (s Sheet) declarationCount() int {
	return len(s.Zone) + len(s.Service) + len(s.Job) + len(s.Team)
}

// removesHalf reports whether next declares half as much as old or less. It doesn't apply to fewer than 4 declarations.
func removesHalf(old, next Sheet) bool {
	return old.declarationCount() >= 4 && 2*next.declarationCount() <= old.declarationCount()
}

// SetZoneEvacuated evacuates a failure domain or brings it back. Repeating the call changes nothing.
func SetZoneEvacuated(ctx context.Context, s store.Store, zone string, evacuated bool) (Config, error) {
	current, err := LoadConfig(ctx, s)
	if err != nil {
		return Config{}, err
	}
	if !slices.ContainsFunc(current.sheet.Zone, func(z Zone) bool { return z.Name == zone }) {
		return Config{}, errors.Wrap(ErrUnknownZone, zone)
	}
	if current.IsZoneUsable(zone) != evacuated {
		return current, nil
	}
	next := current
	next.EvacuatedZones = maps.Clone(current.EvacuatedZones)
	if next.EvacuatedZones == nil {
		next.EvacuatedZones = map[string]uint64{}
	}
	if evacuated {
		next.EvacuatedZones[zone] = current.Version + 1
	} else {
		delete(next.EvacuatedZones, zone)
	}
	return next.writeConfig(ctx, s)
}

// maxPastWrites is how many ids of past writes are kept. A write whose answer was lost is recognized as long as no more
// writes than that have followed it.
const maxPastWrites = 32

// writeConfig stores c as the next version, provided that the stored configuration is still the one that c was made
// from, and returns it.
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

// includedIn reports whether a stored configuration is c or a later version made from it.
func (c Config) includedIn(stored []byte) bool {
	var other Config
	return json.Unmarshal(stored, &other) == nil && (other.WriteID == c.WriteID || slices.Contains(other.PastWrites, c.WriteID))
}

// DiffLines lists the lines that are only in the old text (-) or only in the new one (+).
func DiffLines(old, next string) string {
	oldLines, newLines := strings.Split(old, "\n"), strings.Split(next, "\n")
	var diff strings.Builder
	for _, l := range oldLines {
		if !slices.Contains(newLines, l) {
			fmt.Fprintf(&diff, "- %s\n", l)
		}
	}
	for _, l := range newLines {
		if !slices.Contains(oldLines, l) {
			fmt.Fprintf(&diff, "+ %s\n", l)
		}
	}
	return diff.String()
}

// ConfigWatcher follows the configuration in force.
type ConfigWatcher struct {
	store        store.Store
	watchTimeout time.Duration // longest wait of one watch of the store
	onChange     func(Config)  // called with each new version
	log          logr.Logger

	mu              sync.Mutex
	current         Config    // the latest version seen
	confirmedAt     time.Time // start of the read that last confirmed it; zero if none has
	notifiedVersion uint64    // the version that onChange was last called with
	notifying       bool      // onChange is being called
}

// NewConfigWatcher returns a ConfigWatcher that calls onChange with each new configuration, one call at a time. A
// watch of the store waits no longer than watchTimeout.
func NewConfigWatcher(s store.Store, watchTimeout time.Duration, onChange func(Config), log logr.Logger) *ConfigWatcher {
	return &ConfigWatcher{store: s, watchTimeout: watchTimeout, onChange: onChange, log: log}
}

// Current returns the latest configuration seen.
func (w *ConfigWatcher) Current() Config {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// ConfirmationAge returns how long ago the configuration was last confirmed to be in force, or the longest duration
// if it never was.
func (w *ConfigWatcher) ConfirmationAge() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.confirmedAt.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return time.Since(w.confirmedAt)
}

// Run follows the configuration until ctx ends. A watch that reports no change confirms nothing. Therefore plain reads
// run beside it, often enough that ConfirmationAge stays below maxAge.
func (w *ConfigWatcher) Run(ctx context.Context, maxAge time.Duration) {
	var wg sync.WaitGroup
	wg.Go(func() { w.readLoop(ctx, w.watchTimeout, 0) })
	wg.Go(func() { w.readLoop(ctx, 0, maxAge/3) })
	wg.Wait()
}

// readLoop reads the configuration until ctx ends, with a pause between reads. With a watchTimeout above 0 the reads
// are watches, which wait up to that time for a change.
func (w *ConfigWatcher) readLoop(ctx context.Context, watchTimeout, pause time.Duration) {
	var afterRev uint64
	for ctx.Err() == nil {
		readStart := time.Now()
		listing, err := w.store.List(ctx, configKey, afterRev, watchTimeout)
		if err == nil {
			w.applyListing(listing, readStart, watchTimeout == 0)
			if watchTimeout > 0 {
				afterRev = listing.Rev
			}
		}
		delay := pause
		if err != nil {
			delay = max(pause, retryInterval)
		}
		wait.For(ctx, delay)
	}
}

// retryInterval is the least pause after a failed read.
const retryInterval = 250 * time.Millisecond

// applyListing applies the configuration in a listing that was read from readStart on; confirms says whether the read
// confirms that the configuration is in force. A version lower than one seen before is never applied, even if its
// answer arrives later.
func (w *ConfigWatcher) applyListing(listing store.Listing, readStart time.Time, confirms bool) {
	var next Config
	for _, e := range listing.Entries {
		if e.Key != configKey {
			continue
		}
		c, err := decodeConfig(e)
		if err != nil {
			w.log.Error(err, "configuration not decoded; the last one stays in force", "rev", e.Rev)
			return
		}
		next = c
	}
	w.applyConfig(next, readStart, confirms)
}

// ApplyWritten applies a configuration that was written through this process, before a read returns it. It confirms
// nothing, as the start of the write doesn't tell when it took effect.
func (w *ConfigWatcher) ApplyWritten(c Config) {
	w.applyConfig(c, time.Time{}, false)
}

// applyConfig makes next the current configuration if it is newer, and notes the confirmation.
func (w *ConfigWatcher) applyConfig(next Config, readStart time.Time, confirms bool) {
	w.mu.Lock()
	newer := next.Version > w.current.Version
	if newer {
		w.current = next
	}
	if (confirms || newer) && readStart.After(w.confirmedAt) {
		w.confirmedAt = readStart
	}
	w.mu.Unlock()
	w.notifyChange()
}

// notifyChange calls onChange until it has been called with the latest version. If another goroutine is doing so
// already, notifyChange leaves the calls to it.
func (w *ConfigWatcher) notifyChange() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.notifying {
		return
	}
	w.notifying = true
	for w.notifiedVersion < w.current.Version {
		c := w.current
		w.notifiedVersion = c.Version
		w.mu.Unlock()
		w.log.Info("configuration in force", "num", c.Version, "out", c.evacuatedText())
		w.onChange(c)
		w.mu.Lock()
	}
	w.notifying = false
}
