package drive

import (
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// runLogInterval is how long successful starts and ends are collected.
const runLogInterval = 100 * time.Millisecond

// runLog collects the starts that were carried out and the ends of runs that succeeded, and logs one line for those of a step
// in an interval. A line for each would cost the holder of thousands of runs a second a fifth of its processor time. All
// others are logged one by one. internal/proc/joblog reads both.
//
// Each entry of a line is INDEX:RUN:WORKER:MILLIS:AGO. INDEX is that of the task in its step, MILLIS the time that the start's
// answer took, or the number of the end at its worker, and AGO how many milliseconds before the line it happened.
type runLog struct {
	log logr.Logger

	mu        sync.Mutex
	flushedAt time.Time
	starts    map[runLogKey]*runLogEntries
	ends      map[runLogKey]*runLogEntries
}

// runLogKey identifies the step that a line is about.
type runLogKey struct {
	job              string
	occurrence, step int
}

// runLogEntries are the entries of a line without their ages.
type runLogEntries struct {
	parts [][]byte
	times []time.Time
}

func newRunLog(log logr.Logger) *runLog {
	return &runLog{log: log, starts: map[runLogKey]*runLogEntries{}, ends: map[runLogKey]*runLogEntries{}}
}

// addStart adds a start that was carried out.
func (l *runLog) addStart(now time.Time, o sched.Order, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add(l.starts, now, o.Task, o.Run, o.Incarnation.ID, took.Milliseconds())
}

// addEnd adds the end of a run that succeeded.
func (l *runLog) addEnd(now time.Time, worker string, f sched.FinishedRun) {
	id, err := sched.ParseTaskID(f.Task)
	if err != nil {
		return // its worker was never told to run it
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	add(l.ends, now, id, f.Run, worker, f.Seq)
}

// add adds an entry to the line of its step.
func add(lines map[runLogKey]*runLogEntries, now time.Time, task sched.TaskID, run int64, worker string, value int64) {
	key := runLogKey{task.Job, task.Occurrence, task.Step}
	e := lines[key]
	if e == nil {
		e = &runLogEntries{}
		lines[key] = e
	}
	b := strconv.AppendInt(make([]byte, 0, 48), int64(task.Index), 10)
	b = strconv.AppendInt(append(b, ':'), run, 10)
	b = append(append(append(b, ':'), worker...), ':')
	e.parts = append(e.parts, strconv.AppendInt(b, value, 10))
	e.times = append(e.times, now)
}

// flush logs what was collected if the interval is over, or at once if last.
func (l *runLog) flush(now time.Time, last bool) {
	l.mu.Lock()
	if !last && now.Sub(l.flushedAt) < runLogInterval {
		l.mu.Unlock()
		return
	}
	starts, ends := l.starts, l.ends
	l.flushedAt = now
	l.starts, l.ends = map[runLogKey]*runLogEntries{}, map[runLogKey]*runLogEntries{}
	l.mu.Unlock()
	for key, e := range starts {
		l.log.Info("starts", "job", key.job, "round", key.occurrence, "step", key.step, "runs", e.format(now))
	}
	for key, e := range ends {
		l.log.Info("ends", "job", key.job, "round", key.occurrence, "step", key.step, "how", sched.EndDone, "runs", e.format(now))
	}
}

// format returns the entries with their ages.
func (e *runLogEntries) format(now time.Time) string {
	var b []byte
	for i, part := range e.parts {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(append(append(b, part...), ':'), now.Sub(e.times[i]).Milliseconds(), 10)
	}
	return string(b)
}
