package joblog

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

// ErrJobNotFound says that no line is about the job.
var ErrJobNotFound = errors.New("story: no line about this job")

// Line is a line of a log.
type Line struct {
	Time   time.Time
	Host   string
	Msg    string
	fields map[string]string
}

// ReadLines returns the lines that can be read of a log, and how many others there were. What stands
// before time= in a line, as a collector may put there, is left out.
func ReadLines(in io.Reader) ([]Line, int, error) {
	var lines []Line
	bad := 0
	text, err := io.ReadAll(in)
	if err != nil {
		return nil, 0, errors.Wrap(err, "story")
	}
	for raw := range strings.Lines(string(text)) {
		if _, after, ok := strings.Cut(raw, "time="); ok {
			raw = "time=" + after
		}
		l, err := parseLine(raw)
		if err != nil {
			bad++
			continue
		}
		lines = append(lines, l)
	}
	return lines, bad, nil
}

func parseLine(raw string) (Line, error) {
	l := Line{fields: map[string]string{}}
	d := logfmt.NewDecoder(strings.NewReader(raw))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.fields[string(d.Key())] = string(d.Value())
		}
	}
	if d.Err() != nil {
		return l, errors.Wrap(d.Err(), "story")
	}
	var err error
	if l.Time, err = time.Parse(time.RFC3339, l.fields["time"]); err != nil {
		return l, errors.Wrap(err, "story")
	}
	l.Host, l.Msg = l.fields["host"], l.fields["msg"]
	return l, nil
}

// Field returns a field's text, empty if the line has none of that name.
func (l *Line) Field(name string) string { return l.fields[name] }

// Duration returns a field as a duration, 0 if it is none.
func (l *Line) Duration(name string) time.Duration {
	d, err := time.ParseDuration(l.fields[name])
	if err != nil {
		return 0
	}
	return d
}

// Int returns a field as a whole number, 0 if it is none.
func (l *Line) Int(name string) int {
	n, err := strconv.Atoi(l.fields[name])
	if err != nil {
		return 0
	}
	return n
}

// JobID returns the id of the job that the line is about, empty if there is none.
func (l *Line) JobID() string {
	if id := l.fields["job"]; id != "" {
		return id
	}
	if id, _, ok := strings.Cut(l.fields["task"], "."); ok {
		return id
	}
	path := l.fields["path"]
	return path[strings.LastIndex(path, "/")+1:]
}

// concerns reports whether a line is concerns a job.
func (l *Line) concerns(job string) bool {
	return l.fields["job"] == job || strings.HasPrefix(l.fields["task"], job+".") || strings.HasSuffix(l.fields["path"], "/"+job)
}

// concernsAllJobs reports whether a line tells of what concerns every job.
func (l *Line) concernsAllJobs() bool {
	switch l.Msg {
	case "holder", "took over", "no longer the holder", "write failed", "lease lapsed", "holder again", "fenced by a newer holder":
		return true
	}
	return false
}

// TaskHistory is what became of a task.
type TaskHistory struct {
	Name         string        `json:"name"`
	Worker       string        `json:"worker"`
	Starts       int           `json:"starts"`
	FailedRuns   int           `json:"failed"`
	StoppedRuns  int           `json:"stopped"`
	Throttled    bool          `json:"slowed"`
	End          string        `json:"ended"`
	Waited       time.Duration `json:"waited"` // from when it could have begun to its first start
	Took         time.Duration `json:"took"`   // from its first start to its end
	firstStartAt time.Time
	lastEndAt    time.Time
	stepIndex    int
}

// Event is a line told for people.
type Event struct {
	Offset time.Duration `json:"at"` // since the job's first line
	Host   string        `json:"host"`
	Text   string        `json:"text"`
}

// History is what became of a job.
type History struct {
	Job       string         `json:"job"`
	FirstSeen time.Time      `json:"began"`
	Length    time.Duration  `json:"took"`
	Tasks     []*TaskHistory `json:"tasks"`
	Events    []Event        `json:"events"`
	Delays    []string       `json:"causes"` // what it lost its time to, the most first
}

// NewHistory returns the story of a job, from lines in any order. ErrNone says that none is about it.
func NewHistory(job string, lines []Line) (*History, error) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	first := slices.IndexFunc(lines, func(l Line) bool { return l.concerns(job) })
	if first < 0 {
		return nil, errors.Wrap(ErrJobNotFound, job)
	}
	s := &History{Job: job, FirstSeen: lines[first].Time}
	tasks := map[string]*TaskHistory{}
	for _, l := range lines[first:] {
		switch {
		case l.concerns(job):
			s.Length = l.Time.Sub(s.FirstSeen)
			s.addLine(&l, tasks)
		case l.concernsAllJobs():
			s.addEvent(&l, l.Msg+" "+l.fields["cause"])
		}
	}
	// What came after the job's last line doesn't concern it.
	s.Events = slices.DeleteFunc(s.Events, func(e Event) bool { return e.Offset > s.Length })
	s.computeWaits()
	s.findDelays()
	return s, nil
}

func (s *History) addEvent(l *Line, text string) {
	s.Events = append(s.Events, Event{l.Time.Sub(s.FirstSeen), l.Host, strings.TrimSpace(text)})
}

func (s *History) addLine(l *Line, tasks map[string]*TaskHistory) {
	name := l.fields["task"]
	if name == "" {
		s.addJobEvent(l)
		return
	}
	t := tasks[name]
	if t == nil {
		t = &TaskHistory{Name: name, stepIndex: parseStepIndex(name)}
		tasks[name] = t
		s.Tasks = append(s.Tasks, t)
	}
	t.addLine(l)
}

// addJobEvent notes a line that isn't about one of the job's tasks.
func (s *History) addJobEvent(l *Line) {
	f := l.fields
	switch l.Msg {
	case "answer":
		s.addEvent(l, fmt.Sprintf("answer to %s: %s %s", f["verb"], f["result"], f["why"]))
	case "waits":
		s.addEvent(l, fmt.Sprintf("step %s waits: %s of its tasks found no place for %s (of %s workers %s closed, %s with a late serving task, %s full, %s where they'd disturb)",
			f["step"], f["tasks"], f["since"], f["workers"], f["closed"], f["shut"], f["full"], f["harm"]))
	default:
		s.addEvent(l, strings.TrimSpace(l.Msg+" "+f["why"]+f["cause"]))
	}
}

func (t *TaskHistory) addLine(l *Line) {
	f := l.fields
	t.Worker = f["worker"]
	switch {
	case l.Msg == "end":
		t.End, t.lastEndAt = f["how"], l.Time
		switch f["how"] {
		case "failed":
			t.FailedRuns++
		case "stopped":
			t.StoppedRuns++
		}
	case f["verb"] == "start" && f["outcome"] == "done":
		if t.Starts == 0 {
			t.firstStartAt = l.Time
		}
		t.Starts++
		t.End = ""
	case f["verb"] == "pace":
		t.Throttled = true
	}
	if !t.firstStartAt.IsZero() && !t.lastEndAt.IsZero() {
		t.Took = t.lastEndAt.Sub(t.firstStartAt)
	}
}

// parseStepIndex returns the parseStepIndex's number in a task's name, JOB.ROUND.STEP.INDEX.
func parseStepIndex(name string) int {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		return 0
	}
	n, err := strconv.Atoi(p[2])
	if err != nil {
		return 0
	}
	return n
}

// computeWaits sets what each task waited: from the job's first line, or the end of the step before.
func (s *History) computeWaits() {
	slices.SortStableFunc(s.Tasks, func(a, b *TaskHistory) int {
		if a.stepIndex != b.stepIndex {
			return a.stepIndex - b.stepIndex
		}
		return strings.Compare(a.Name, b.Name)
	})
	open, next, now := s.FirstSeen, s.FirstSeen, 0
	for _, t := range s.Tasks {
		if t.stepIndex != now {
			open, now = next, t.stepIndex
		}
		if !t.firstStartAt.IsZero() {
			t.Waited = max(0, t.firstStartAt.Sub(open))
		}
		if t.lastEndAt.After(next) {
			next = t.lastEndAt
		}
	}
}

// findDelays lists what the job lost time to.
func (s *History) findDelays() {
	var waited, slowed, failed, moved time.Duration
	for _, t := range s.Tasks {
		waited = max(waited, t.Waited)
		switch {
		case t.FailedRuns > 0:
			failed = max(failed, t.Took)
		case t.Throttled:
			slowed = max(slowed, t.Took)
		case t.StoppedRuns > 0:
			moved = max(moved, t.Took)
		}
	}
	type cause struct {
		lost time.Duration
		text string
	}
	all := []cause{
		{waited, "a task waited %s for a place"},
		{slowed, "a task that was slowed for a serving one took %s"},
		{failed, "a task that failed and was begun again took %s"},
		{moved, "a task that was stopped and moved took %s"},
	}
	slices.SortStableFunc(all, func(a, b cause) int { return int(b.lost - a.lost) })
	for _, c := range all {
		if c.lost >= minDelay {
			s.Delays = append(s.Delays, fmt.Sprintf(c.text, c.lost.Round(time.Millisecond)))
		}
	}
}

// minDelay is the shortest time that is minDelay as a cause.
const minDelay = 100 * time.Millisecond

// WriteJSON writes the story for programs.
func (s *History) WriteJSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(s), "story")
}

// WriteText writes the story for people.
func (s *History) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "job %s, first seen %s, last line %s later\n", s.Job, s.FirstSeen.Format(time.RFC3339Nano), s.Length.Round(time.Millisecond))
	for _, c := range s.Delays {
		fmt.Fprintf(w, "- %s\n", c)
	}
	for _, e := range s.Events {
		fmt.Fprintf(w, "%s\t%s\t%s\n", e.Offset.Round(time.Millisecond), e.Host, e.Text)
	}
	if len(s.Tasks) > 0 {
		fmt.Fprintln(w, "task\tworker\twaited\ttook\tstarts\tfailed\tstopped\tslowed\tended")
	}
	for _, t := range s.Tasks {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%v\t%s\n", t.Name, t.Worker, t.Waited.Round(time.Millisecond), t.Took.Round(time.Millisecond),
			t.Starts, t.FailedRuns, t.StoppedRuns, t.Throttled, t.End)
	}
	return errors.Wrap(w.Flush(), "story")
}
