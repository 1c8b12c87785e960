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

// maxLine is the longest line of a log in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Node    string
	Message string
	Request string         // "" in a line about the node
	Fields  map[string]any // all others
}

// String returns the line as text: time, node, message and the fields by name.
func (l *Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.UTC().Format("15:04:05.000000"), l.Node, l.Message)
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", k, l.Fields[k])
	}
	return b.String()
}

// Trace returns the lines about the request of the given id in the logs of several
// nodes, by time, together with the lines about the nodes themselves from before
// the first to after the last of them. Lines that are no JSON objects are passed
// over; what precedes the object in a line is ignored.
func Trace(id string, around time.Duration, logs ...io.Reader) ([]Line, error) {
	var about, other []Line
	var errs []error
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLine)
		for s.Scan() {
			switch l, ok := parse(s.Bytes()); {
			case !ok:
			case l.Request == id:
				about = append(about, l)
			case l.Request == "":
				other = append(other, l)
			}
		}
		errs = append(errs, s.Err())
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(about, byTime)
	if len(about) > 0 {
		from, to := about[0].Time.Add(-around), about[len(about)-1].Time.Add(around)
		for _, l := range other {
			if !l.Time.Before(from) && !l.Time.After(to) {
				about = append(about, l)
			}
		}
		slices.SortStableFunc(about, byTime)
	}
	return about, errors.Join(errs...)
}

// parse decodes one line.
func parse(b []byte) (Line, bool) {
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
