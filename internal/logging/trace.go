package logging

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is one decoded log line.
type Line struct {
	Time    time.Time
	Node    string
	Message string
	Request string         // request id, "" in a line about the node
	Fields  map[string]any // all other fields except the level
}

// String formats the line as time, node, message and the fields sorted by name.
func (l *Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.UTC().Format("15:04:05.000000"), l.Node, l.Message)
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", k, l.Fields[k])
	}
	return b.String()
}

// Trace returns the lines about the request with the given id from the logs of
// several nodes, sorted by time. It includes lines about the nodes themselves that
// were logged at most around before the first or after the last line of the request.
// Text before the JSON object of a line is ignored, and so are lines that cannot be
// decoded.
func Trace(id string, around time.Duration, logs ...io.Reader) ([]Line, error) {
	var selected, nodeLines []Line
	var errs []error
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			switch l, ok := parseLine(s.Bytes()); {
			case !ok:
			case l.Request == id:
				selected = append(selected, l)
			case l.Request == "":
				nodeLines = append(nodeLines, l)
			}
		}
		errs = append(errs, s.Err())
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(selected, byTime)
	if len(selected) > 0 {
		from, to := selected[0].Time.Add(-around), selected[len(selected)-1].Time.Add(around)
		for _, l := range nodeLines {
			if !l.Time.Before(from) && !l.Time.After(to) {
				selected = append(selected, l)
			}
		}
		slices.SortStableFunc(selected, byTime)
	}
	return selected, errors.Join(errs...)
}

// parseLine decodes one line. It returns false if b has no JSON object with a valid
// time.
func parseLine(b []byte) (Line, bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return Line{}, false
	}
	var m map[string]any
	if json.Unmarshal(b[i:], &m) != nil {
		return Line{}, false
	}
	l := Line{Fields: m}
	ts, _ := m["ts"].(string)
	var err error
	if l.Time, err = time.Parse(time.RFC3339Nano, ts); err != nil {
		return Line{}, false
	}
	l.Node, _ = m["node"].(string)
	l.Message, _ = m["msg"].(string)
	l.Request, _ = m["request"].(string)
	for _, k := range []string{"ts", "node", "msg", "request", "level"} {
		delete(m, k)
	}
	return l, true
}
