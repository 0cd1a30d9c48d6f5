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

// ErrJobNotFound is returned if no log line is about the job.
var ErrJobNotFound = errors.New("joblog: no line about this job")

// Line is a parsed line of a log.
type Line struct {
	Time   time.Time         // when the line was logged
	Host   string            // host that logged it
	Msg    string            // log message
	fields map[string]string // values by log key
}

// ReadLines parses a log and returns its lines and the number of lines that cannot be parsed. Text before time= in a
// line is ignored: log collectors may put a prefix there.
func ReadLines(in io.Reader) ([]Line, int, error) {
	var lines []Line
	unreadable := 0
	text, err := io.ReadAll(in)
	if err != nil {
		return nil, 0, errors.Wrap(err, "joblog")
	}
	for raw := range strings.Lines(string(text)) {
		if _, after, ok := strings.Cut(raw, "time="); ok {
			raw = "time=" + after
		}
		l, err := parseLine(raw)
		if err != nil {
			unreadable++
			continue
		}
		lines = append(lines, l.expand()...)
	}
	return lines, unreadable, nil
}

// parseLine parses a line in logfmt. A line without a valid time is an error.
func parseLine(raw string) (Line, error) {
	l := Line{fields: map[string]string{}}
	d := logfmt.NewDecoder(strings.NewReader(raw))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.fields[string(d.Key())] = string(d.Value())
		}
	}
	if d.Err() != nil {
		return l, errors.Wrap(d.Err(), "joblog")
	}
	var err error
	if l.Time, err = time.Parse(time.RFC3339, l.fields["time"]); err != nil {
		return l, errors.Wrap(err, "joblog")
	}
	l.Host, l.Msg = l.fields["host"], l.fields["msg"]
	return l, nil
}

// Field returns the value of a log key, or an empty string if the line has no such key.
func (l *Line) Field(name string) string { return l.fields[name] }

// Duration returns the value of a log key as a duration, or 0 if it is not one.
func (l *Line) Duration(name string) time.Duration {
	d, err := time.ParseDuration(l.fields[name])
	if err != nil {
		return 0
	}
	return d
}

// Int returns the value of a log key as an integer, or 0 if it is not one.
func (l *Line) Int(name string) int {
	n, err := strconv.Atoi(l.fields[name])
	if err != nil {
		return 0
	}
	return n
}

// JobID returns the id of the job that the line is about, or an empty string if it is about none. The id is in the job
// key, in the task id, or at the end of a request's path.
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

// concerns reports whether the line is about the job or one of its tasks.
func (l *Line) concerns(job string) bool {
	return l.fields["job"] == job || strings.HasPrefix(l.fields["task"], job+".") || strings.HasSuffix(l.fields["path"], "/"+job)
}

// concernsAllJobs reports whether the line is about the holder or its writes to the store, which affect every job.
func (l *Line) concernsAllJobs() bool {
	switch l.Msg {
	case "holder", "took over", "no longer the holder", "write failed", "lease lapsed", "holder again", "fenced by a newer holder":
		return true
	}
	return false
}

// TaskHistory is what happened to a task.
type TaskHistory struct {
	Name         string        `json:"name"`    // task id, JOB.OCCURRENCE.STEP.INDEX
	Worker       string        `json:"worker"`  // worker that the task's last line names
	Starts       int           `json:"starts"`  // start orders that were carried out
	FailedRuns   int           `json:"failed"`  // runs that failed
	StoppedRuns  int           `json:"stopped"` // runs that were stopped
	Throttled    bool          `json:"slowed"`  // whether an order to throttle it was logged
	End          string        `json:"ended"`   // how the last run ended; empty: it has not ended
	Waited       time.Duration `json:"waited"`  // from when the task was ready to its first start
	Took         time.Duration `json:"took"`    // from its first start to the end of its last ended run
	firstStartAt time.Time     // when the first start was logged; zero: never
	lastEndAt    time.Time     // when the last end of a run was logged; zero: never
	stepIndex    int           // index of the step in its job
}

// Event is a log line worded for a reader.
type Event struct {
	Offset time.Duration `json:"at"`   // time since the job's first line
	Host   string        `json:"host"` // host that logged the line
	Text   string        `json:"text"` // what happened
}

// History is what happened to a job according to the logs.
type History struct {
	Job       string         `json:"job"`    // id of the job
	FirstSeen time.Time      `json:"began"`  // time of the job's first line
	Length    time.Duration  `json:"took"`   // from the job's first line to its last
	Tasks     []*TaskHistory `json:"tasks"`  // by step and task id
	Events    []Event        `json:"events"` // lines about the job itself or the holder, by time
	Delays    []string       `json:"causes"` // what delayed the job, longest delay first
}

// NewHistory builds the history of a job from lines in any order. It returns ErrJobNotFound if no line is about the
// job.
func NewHistory(job string, lines []Line) (*History, error) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	first := slices.IndexFunc(lines, func(l Line) bool { return l.concerns(job) })
	if first < 0 {
		return nil, errors.Wrap(ErrJobNotFound, job)
	}
	h := &History{Job: job, FirstSeen: lines[first].Time}
	tasks := map[string]*TaskHistory{}
	for _, l := range lines[first:] {
		switch {
		case l.concerns(job):
			h.Length = l.Time.Sub(h.FirstSeen)
			h.addLine(&l, tasks)
		case l.concernsAllJobs():
			h.addEvent(&l, l.Msg+" "+l.fields["cause"])
		}
	}
	// Events after the job's last line do not affect it.
	h.Events = slices.DeleteFunc(h.Events, func(e Event) bool { return e.Offset > h.Length })
	h.computeWaits()
	h.findDelays()
	return h, nil
}

func (h *History) addEvent(l *Line, text string) {
	h.Events = append(h.Events, Event{l.Time.Sub(h.FirstSeen), l.Host, strings.TrimSpace(text)})
}

// addLine adds a line about the job or one of its tasks; tasks holds the histories of its tasks by task id.
func (h *History) addLine(l *Line, tasks map[string]*TaskHistory) {
	name := l.fields["task"]
	if name == "" {
		h.addJobEvent(l)
		return
	}
	t := tasks[name]
	if t == nil {
		t = &TaskHistory{Name: name, stepIndex: parseStepIndex(name)}
		tasks[name] = t
		h.Tasks = append(h.Tasks, t)
	}
	t.addLine(l)
}

// addJobEvent adds the event for a line that is about the job but not about one of its tasks.
func (h *History) addJobEvent(l *Line) {
	f := l.fields
	switch l.Msg {
	case "answer":
		h.addEvent(l, fmt.Sprintf("answer to %s: %s %s", f["verb"], f["result"], f["why"]))
	case "waits":
		h.addEvent(l, fmt.Sprintf("step %s waits: %s of its tasks found no place for %s (of %s workers %s closed, %s with a late serving task, %s full, %s where they'd disturb)",
			f["step"], f["tasks"], f["since"], f["workers"], f["closed"], f["shut"], f["full"], f["harm"]))
	default:
		h.addEvent(l, strings.TrimSpace(l.Msg+" "+f["why"]+f["cause"]))
	}
}

// addLine adds a line about the task.
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

// parseStepIndex returns the index of the step in a task id, JOB.OCCURRENCE.STEP.INDEX, or 0 if the id is invalid.
func parseStepIndex(name string) int {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return 0
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil {
		return 0
	}
	return n
}

// computeWaits sorts the tasks and sets how long each waited for its first start. A task is taken to be ready from the
// job's first line or, in a later step, from the last end of a task of the steps before.
func (h *History) computeWaits() {
	slices.SortStableFunc(h.Tasks, func(a, b *TaskHistory) int {
		if a.stepIndex != b.stepIndex {
			return a.stepIndex - b.stepIndex
		}
		return strings.Compare(a.Name, b.Name)
	})
	readyAt, latestEnd, stepIndex := h.FirstSeen, h.FirstSeen, 0
	for _, t := range h.Tasks {
		if t.stepIndex != stepIndex {
			readyAt, stepIndex = latestEnd, t.stepIndex
		}
		if !t.firstStartAt.IsZero() {
			t.Waited = max(0, t.firstStartAt.Sub(readyAt))
		}
		if t.lastEndAt.After(latestEnd) {
			latestEnd = t.lastEndAt
		}
	}
}

// findDelays lists what delayed the job: for each kind of delay, the time of the task that it affected longest.
func (h *History) findDelays() {
	var waited, throttled, failed, moved time.Duration
	for _, t := range h.Tasks {
		waited = max(waited, t.Waited)
		switch {
		case t.FailedRuns > 0:
			failed = max(failed, t.Took)
		case t.Throttled:
			throttled = max(throttled, t.Took)
		case t.StoppedRuns > 0:
			moved = max(moved, t.Took)
		}
	}
	type delay struct {
		duration time.Duration
		text     string
	}
	delays := []delay{
		{waited, "a task waited %s for a place"},
		{throttled, "a task that was slowed for a serving one took %s"},
		{failed, "a task that failed and was begun again took %s"},
		{moved, "a task that was stopped and moved took %s"},
	}
	slices.SortStableFunc(delays, func(a, b delay) int { return int(b.duration - a.duration) })
	for _, d := range delays {
		if d.duration >= minDelay {
			h.Delays = append(h.Delays, fmt.Sprintf(d.text, d.duration.Round(time.Millisecond)))
		}
	}
}

// minDelay is the shortest delay that is listed.
const minDelay = 100 * time.Millisecond

// WriteJSON writes the history as JSON, for programs.
func (h *History) WriteJSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(h), "joblog")
}

// WriteText writes the history as a text with a table of the tasks, for people.
func (h *History) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "job %s, first seen %s, last line %s later\n", h.Job, h.FirstSeen.Format(time.RFC3339Nano), h.Length.Round(time.Millisecond))
	for _, d := range h.Delays {
		fmt.Fprintf(w, "- %s\n", d)
	}
	for _, e := range h.Events {
		fmt.Fprintf(w, "%s\t%s\t%s\n", e.Offset.Round(time.Millisecond), e.Host, e.Text)
	}
	if len(h.Tasks) > 0 {
		fmt.Fprintln(w, "task\tworker\twaited\ttook\tstarts\tfailed\tstopped\tslowed\tended")
	}
	for _, t := range h.Tasks {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%v\t%s\n", t.Name, t.Worker, t.Waited.Round(time.Millisecond), t.Took.Round(time.Millisecond),
			t.Starts, t.FailedRuns, t.StoppedRuns, t.Throttled, t.End)
	}
	return errors.Wrap(w.Flush(), "joblog")
}
