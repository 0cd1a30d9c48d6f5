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
	// ErrShrunken says that a sheet drops half or more of what is declared and was not confirmed.
	ErrShrunken = errors.New("sheet: shrunken")
	// ErrZone says that a failure domain is not declared.
	ErrZone = errors.New("sheet: unknown failure domain")
)

const key = "config"

// Config is the configuration in force: the sheet and the failure domains that
// operators have taken out.
type Config struct {
	ID    string            `json:"id"`   // of the write, so that a lost answer can be settled
	Past  []string          `json:"past"` // the ids of the writes before, for the same reason
	Num   uint64            `json:"num"`  // grows by one with each change
	Text  string            `json:"text"` // of the sheet
	Out   map[string]uint64 `json:"out"`  // failure domains that are out, and the number that took them out
	rev   uint64
	sheet Sheet
}

// Sheet returns the sheet, checked.
func (c Config) Sheet() Sheet { return c.sheet }

// Usable reports whether anything may start in the failure domain.
func (c Config) Usable(zone string) bool {
	_, out := c.Out[zone]
	return !out
}

func decode(e store.Entry) (Config, error) {
	var c Config
	if err := json.Unmarshal(e.Value, &c); err != nil {
		return Config{}, errors.Wrap(err, "sheet")
	}
	c.rev = e.Rev
	if c.Text != "" {
		s, err := Parse(c.Text)
		if err != nil {
			return Config{}, err
		}
		c.sheet = s
	}
	return c, nil
}

// Load reads the configuration in force; before the first change it is empty.
func Load(ctx context.Context, s store.Store) (Config, error) {
	e, err := s.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return Config{}, nil
	}
	if err != nil {
		return Config{}, err
	}
	return decode(e)
}

// Put makes text the sheet in force if its base is the configuration in force.
//
// It guards against a sheet that was drawn up before an operator's move and would
// undo it without anybody wanting that: its base is older and it is refused with
// the differences.
func Put(ctx context.Context, s store.Store, text string, confirm bool) (Config, error) {
	sheet, err := Parse(text)
	if err != nil {
		return Config{}, err
	}
	now, err := Load(ctx, s)
	if err != nil {
		return Config{}, err
	}
	if sheet.Base != now.Num {
		return Config{}, errors.Wrap(ErrConflict, fmt.Sprintf(
			"the sheet was drawn from configuration %d, in force is %d%s; differences:\n%s",
			sheet.Base, now.Num, now.outText(), Diff(now.Text, text)))
	}
	if !confirm && shrunken(now.sheet, sheet) {
		return Config{}, errors.Wrap(ErrShrunken, fmt.Sprintf(
			"it declares %d of %d services, jobs, teams and failure domains; confirm if that is meant",
			sheet.size(), now.sheet.size()))
	}
	next := now
	next.Text, next.sheet = text, sheet
	return next.write(ctx, s)
}

func (c Config) outText() string {
	if len(c.Out) == 0 {
		return ""
	}
	return " (out: " + strings.Join(slices.Sorted(maps.Keys(c.Out)), ", ") + ")"
}

func (s Sheet) size() int {
	return len(s.Zone) + len(s.Service) + len(s.Job) + len(s.Team)
}

func shrunken(old, next Sheet) bool {
	return old.size() >= 4 && 2*next.size() <= old.size()
}

// Move takes a failure domain out or brings it back; repeating it changes nothing.
func Move(ctx context.Context, s store.Store, zone string, out bool) (Config, error) {
	now, err := Load(ctx, s)
	if err != nil {
		return Config{}, err
	}
	if !slices.ContainsFunc(now.sheet.Zone, func(z Zone) bool { return z.Name == zone }) {
		return Config{}, errors.Wrap(ErrZone, zone)
	}
	if now.Usable(zone) != out {
		return now, nil
	}
	next := now
	next.Out = maps.Clone(now.Out)
	if next.Out == nil {
		next.Out = map[string]uint64{}
	}
	if out {
		next.Out[zone] = now.Num + 1
	} else {
		delete(next.Out, zone)
	}
	return next.write(ctx, s)
}

// maxPast is how many writes back a lost answer can be settled.
const maxPast = 32

func (c Config) write(ctx context.Context, s store.Store) (Config, error) {
	c.Past = append([]string{c.ID}, c.Past...)
	c.Past = c.Past[:min(len(c.Past), maxPast)]
	c.ID, c.Num = uuid.NewString(), c.Num+1
	value, err := json.Marshal(c)
	if err != nil {
		return Config{}, errors.Wrap(err, "sheet")
	}
	err = store.SwapWithRetry(ctx, s, key, value, c.rev, c.contains)
	if errors.Is(err, store.ErrConflict) {
		return Config{}, errors.Wrap(ErrConflict, "another operator changed the configuration at the same time; read it and try again")
	}
	if err != nil {
		return Config{}, err
	}
	return c, nil
}

// contains reports whether a stored configuration is this one or was built on it.
func (c Config) contains(stored []byte) bool {
	var now Config
	return json.Unmarshal(stored, &now) == nil && (now.ID == c.ID || slices.Contains(now.Past, c.ID))
}

// Diff lists the lines that stand only in the old (-) or only in the new text (+).
func Diff(old, next string) string {
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

// Feed follows the configuration in force.
type Feed struct {
	store   store.Store
	hold    time.Duration // of one watch
	changed func(Config)
	log     logr.Logger

	mu   sync.Mutex
	now  Config
	at   time.Time
	told uint64 // the number of the configuration that changed was last called with
	busy bool   // changed is being called
}

// NewFeed returns a feed that calls changed on each new configuration, one call at a time.
func NewFeed(s store.Store, hold time.Duration, changed func(Config), log logr.Logger) *Feed {
	return &Feed{store: s, hold: hold, changed: changed, log: log}
}

// Now returns the latest configuration seen.
func (f *Feed) Now() Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Age returns how long ago the configuration was last confirmed to be in force.
func (f *Feed) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return time.Since(f.at)
}

// Run follows until ctx ends. A watch that stays silent confirms nothing, so a plain
// read goes beside it, often enough that the age stays below confirm.
func (f *Feed) Run(ctx context.Context, confirm time.Duration) {
	var wg sync.WaitGroup
	wg.Go(func() { f.follow(ctx, f.hold, 0) })
	wg.Go(func() { f.follow(ctx, 0, confirm/3) })
	wg.Wait()
}

func (f *Feed) follow(ctx context.Context, hold, pause time.Duration) {
	var after uint64
	for ctx.Err() == nil {
		began := time.Now()
		p, err := f.store.List(ctx, key, after, hold)
		if err == nil {
			f.take(p, began, hold == 0)
			if hold > 0 {
				after = p.Rev
			}
		}
		rest := pause
		if err != nil {
			rest = max(pause, errorPause)
		}
		wait.For(ctx, rest)
	}
}

const errorPause = 250 * time.Millisecond

// take adopts a newer configuration. A lower number than one seen before is never
// applied, whichever answer arrives late.
func (f *Feed) take(p store.Listing, began time.Time, confirms bool) {
	var next Config
	for _, e := range p.Entries {
		if e.Key != key {
			continue
		}
		c, err := decode(e)
		if err != nil {
			f.log.Error(err, "configuration not read; the last one stays in force", "rev", e.Rev)
			return
		}
		next = c
	}
	f.adopt(next, began, confirms)
}

// Adopt takes in a configuration that was written through this process, ahead of the reads.
// It confirms nothing: the start of the write doesn't tell when it took effect.
func (f *Feed) Adopt(c Config) {
	f.adopt(c, time.Time{}, false)
}

func (f *Feed) adopt(next Config, began time.Time, confirms bool) {
	f.mu.Lock()
	newer := next.Num > f.now.Num
	if newer {
		f.now = next
	}
	if (confirms || newer) && began.After(f.at) {
		f.at = began
	}
	f.mu.Unlock()
	f.tell()
}

// tell calls changed until it has been called with the latest configuration. A call that
// comes while another is at it leaves the rest to that one.
func (f *Feed) tell() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy {
		return
	}
	f.busy = true
	for f.told < f.now.Num {
		c := f.now
		f.told = c.Num
		f.mu.Unlock()
		f.log.Info("configuration in force", "num", c.Num, "out", c.outText())
		f.changed(c)
		f.mu.Lock()
	}
	f.busy = false
}
