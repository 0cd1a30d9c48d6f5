package joblog

import (
	"strconv"
	"strings"
	"time"
)

// expand returns the lines that a line stands for: one for each entry of a line about several starts or ends of a step, and
// the line itself otherwise. Entries that can't be read are left out. See runLog of package drive for their format.
func (l Line) expand() []Line {
	switch l.Msg {
	case "starts":
		return l.expandRuns("order", map[string]string{"verb": "start", "outcome": "done"}, "took")
	case "ends":
		return l.expandRuns("end", map[string]string{"how": l.fields["how"]}, "seq")
	}
	return []Line{l}
}

// expandRuns returns a line for each run, with the given message and fields, and the entry's value under the given key.
func (l Line) expandRuns(msg string, fields map[string]string, valueKey string) []Line {
	var lines []Line
	for entry := range strings.SplitSeq(l.fields["runs"], ",") {
		parts := strings.Split(entry, ":")
		if len(parts) != 5 {
			continue
		}
		ago, err := strconv.Atoi(parts[4])
		if err != nil {
			continue
		}
		value := parts[3]
		if valueKey == "took" {
			value += "ms"
		}
		run := Line{
			Time: l.Time.Add(-time.Duration(ago) * time.Millisecond), Host: l.Host, Msg: msg,
			fields: map[string]string{
				"task": strings.Join([]string{l.fields["job"], l.fields["round"], l.fields["step"], parts[0]}, "."), "run": parts[1], "worker": parts[2],
				"term": l.fields["term"], valueKey: value,
			},
		}
		for k, v := range fields {
			run.fields[k] = v
		}
		lines = append(lines, run)
	}
	return lines
}
