package story

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

// ErrNone says that no line is about the job.
var ErrNone = errors.New("story: no line about this job")

// Line is a line of a log.
type Line struct {
	At     time.Time
	Host   string
	Msg    string
	fields map[string]string
}

// Read returns the lines that can be read of a log, and how many others there were. What stands
// before time= in a line, as a collector may put there, is left out.
func Read(in io.Reader) ([]Line, int, error) {
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
		l, err := parse(raw)
		if err != nil {
			bad++
			continue
		}
		lines = append(lines, l)
	}
	return lines, bad, nil
}

func parse(raw string) (Line, error) {
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
	if l.At, err = time.Parse(time.RFC3339, l.fields["time"]); err != nil {
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

// Job returns the id of the job that the line is about, empty if there is none.
func (l *Line) Job() string {
	if id := l.fields["job"]; id != "" {
		return id
	}
	if id, _, ok := strings.Cut(l.fields["task"], "."); ok {
		return id
	}
	path := l.fields["path"]
	return path[strings.LastIndex(path, "/")+1:]
}

// about reports whether a line is about a job.
func (l *Line) about(job string) bool {
	return l.fields["job"] == job || strings.HasPrefix(l.fields["task"], job+".") || strings.HasSuffix(l.fields["path"], "/"+job)
}

// general reports whether a line tells of what concerns every job.
func (l *Line) general() bool {
	switch l.Msg {
	case "holder", "took over", "no longer the holder", "write failed", "lease lapsed", "holder again", "fenced by a newer holder":
		return true
	}
	return false
}

// Task is what became of a task.
type Task struct {
	Name    string        `json:"name"`
	Worker  string        `json:"worker"`
	Starts  int           `json:"starts"`
	Failed  int           `json:"failed"`
	Stopped int           `json:"stopped"`
	Slowed  bool          `json:"slowed"`
	Ended   string        `json:"ended"`
	Waited  time.Duration `json:"waited"` // from when it could have begun to its first start
	Took    time.Duration `json:"took"`   // from its first start to its end
	first   time.Time
	last    time.Time
	step    int
}

// Event is a line told for people.
type Event struct {
	At   time.Duration `json:"at"` // since the job's first line
	Host string        `json:"host"`
	Text string        `json:"text"`
}

// Story is what became of a job.
type Story struct {
	Job    string        `json:"job"`
	Began  time.Time     `json:"began"`
	Took   time.Duration `json:"took"`
	Tasks  []*Task       `json:"tasks"`
	Events []Event       `json:"events"`
	Causes []string      `json:"causes"` // what it lost its time to, the most first
}

// Of returns the story of a job, from lines in any order. ErrNone says that none is about it.
func Of(job string, lines []Line) (*Story, error) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	first := slices.IndexFunc(lines, func(l Line) bool { return l.about(job) })
	if first < 0 {
		return nil, errors.Wrap(ErrNone, job)
	}
	s := &Story{Job: job, Began: lines[first].At}
	tasks := map[string]*Task{}
	for _, l := range lines[first:] {
		switch {
		case l.about(job):
			s.Took = l.At.Sub(s.Began)
			s.take(&l, tasks)
		case l.general():
			s.event(&l, l.Msg+" "+l.fields["cause"])
		}
	}
	// What came after the job's last line doesn't concern it.
	s.Events = slices.DeleteFunc(s.Events, func(e Event) bool { return e.At > s.Took })
	s.wait()
	s.blame()
	return s, nil
}

func (s *Story) event(l *Line, text string) {
	s.Events = append(s.Events, Event{l.At.Sub(s.Began), l.Host, strings.TrimSpace(text)})
}

func (s *Story) take(l *Line, tasks map[string]*Task) {
	name := l.fields["task"]
	if name == "" {
		s.tell(l)
		return
	}
	t := tasks[name]
	if t == nil {
		t = &Task{Name: name, step: step(name)}
		tasks[name] = t
		s.Tasks = append(s.Tasks, t)
	}
	t.take(l)
}

// tell notes a line that isn't about one of the job's tasks.
func (s *Story) tell(l *Line) {
	f := l.fields
	switch l.Msg {
	case "answer":
		s.event(l, fmt.Sprintf("answer to %s: %s %s", f["verb"], f["result"], f["why"]))
	case "waits":
		s.event(l, fmt.Sprintf("step %s waits: %s of its tasks found no place for %s (of %s workers %s closed, %s with a late serving task, %s full, %s where they'd disturb)",
			f["step"], f["tasks"], f["since"], f["workers"], f["closed"], f["shut"], f["full"], f["harm"]))
	default:
		s.event(l, strings.TrimSpace(l.Msg+" "+f["why"]+f["cause"]))
	}
}

func (t *Task) take(l *Line) {
	f := l.fields
	t.Worker = f["worker"]
	switch {
	case l.Msg == "end":
		t.Ended, t.last = f["how"], l.At
		switch f["how"] {
		case "failed":
			t.Failed++
		case "stopped":
			t.Stopped++
		}
	case f["verb"] == "start" && f["outcome"] == "done":
		if t.Starts == 0 {
			t.first = l.At
		}
		t.Starts++
		t.Ended = ""
	case f["verb"] == "pace":
		t.Slowed = true
	}
	if !t.first.IsZero() && !t.last.IsZero() {
		t.Took = t.last.Sub(t.first)
	}
}

// step returns the step's number in a task's name, JOB.ROUND.STEP.INDEX.
func step(name string) int {
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

// wait sets what each task waited: from the job's first line, or the end of the step before.
func (s *Story) wait() {
	slices.SortStableFunc(s.Tasks, func(a, b *Task) int {
		if a.step != b.step {
			return a.step - b.step
		}
		return strings.Compare(a.Name, b.Name)
	})
	open, next, now := s.Began, s.Began, 0
	for _, t := range s.Tasks {
		if t.step != now {
			open, now = next, t.step
		}
		if !t.first.IsZero() {
			t.Waited = max(0, t.first.Sub(open))
		}
		if t.last.After(next) {
			next = t.last
		}
	}
}

// blame lists what the job lost time to.
func (s *Story) blame() {
	var waited, slowed, failed, moved time.Duration
	for _, t := range s.Tasks {
		waited = max(waited, t.Waited)
		switch {
		case t.Failed > 0:
			failed = max(failed, t.Took)
		case t.Slowed:
			slowed = max(slowed, t.Took)
		case t.Stopped > 0:
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
		if c.lost >= told {
			s.Causes = append(s.Causes, fmt.Sprintf(c.text, c.lost.Round(time.Millisecond)))
		}
	}
}

// told is the shortest time that is told as a cause.
const told = 100 * time.Millisecond

// JSON writes the story for programs.
func (s *Story) JSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(s), "story")
}

// Text writes the story for people.
func (s *Story) Text(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "job %s, first seen %s, last line %s later\n", s.Job, s.Began.Format(time.RFC3339Nano), s.Took.Round(time.Millisecond))
	for _, c := range s.Causes {
		fmt.Fprintf(w, "- %s\n", c)
	}
	for _, e := range s.Events {
		fmt.Fprintf(w, "%s\t%s\t%s\n", e.At.Round(time.Millisecond), e.Host, e.Text)
	}
	if len(s.Tasks) > 0 {
		fmt.Fprintln(w, "task\tworker\twaited\ttook\tstarts\tfailed\tstopped\tslowed\tended")
	}
	for _, t := range s.Tasks {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%v\t%s\n", t.Name, t.Worker, t.Waited.Round(time.Millisecond), t.Took.Round(time.Millisecond),
			t.Starts, t.Failed, t.Stopped, t.Slowed, t.Ended)
	}
	return errors.Wrap(w.Flush(), "story")
}
