package metric

import (
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"maps"
	"net/http"
	"runtime"
	"slices"
	"sync"
)

// Registry holds the counters and gauges of one node. Its zero value is not
// usable; call New.
type Registry struct {
	mu   sync.Mutex
	vars *expvar.Map
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{vars: new(expvar.Map).Init()}
}

// Counter returns the counter of the given name, creating it if needed.
// Names are lower-case words joined by underscores. Counter panics if the name
// is in use for another type.
func (r *Registry) Counter(name string) *expvar.Int {
	return getOrCreate(r, name, func() *expvar.Int { return new(expvar.Int) })
}

// CounterGroup returns the group of counters of the given name, creating it if
// needed. Its Add method increments the counter of one key, such as a reason, a rank
// or a kind of message. CounterGroup panics if the name is in use for another type.
func (r *Registry) CounterGroup(name string) *expvar.Map {
	return getOrCreate(r, name, func() *expvar.Map { return new(expvar.Map).Init() })
}

// Gauge registers f as the current value of name. The value must be
// representable as JSON. A later call with the same name replaces f.
func (r *Registry) Gauge(name string, f func() any) {
	r.vars.Set(name, expvar.Func(f))
}

// InvariantBroken counts one violation of the named invariant. A count other than
// zero indicates a bug.
func (r *Registry) InvariantBroken(name string) {
	r.CounterGroup("invariant_broken").Add(name, 1)
}

// Handler serves the registry and statistics of the Go runtime as JSON.
func (r *Registry) Handler() http.Handler {
	r.Gauge("goroutines", func() any { return runtime.NumGoroutine() })
	r.Gauge("memory", func() any {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return map[string]uint64{"heap_alloc": m.HeapAlloc, "heap_sys": m.HeapSys, "sys": m.Sys, "total_alloc": m.TotalAlloc}
	})
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = fmt.Fprintln(w, r.vars.String())
	})
}

// TextHandler serves the registry as text, one value per line. A line has the form
// name value, or name{key="..."} value for a counter of a group.
func (r *Registry) TextHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		r.vars.Do(func(kv expvar.KeyValue) {
			var v any
			if json.Unmarshal([]byte(kv.Value.String()), &v) == nil {
				writeText(w, kv.Key, "", v)
			}
		})
	})
}

// writeText writes v, and recursively the values that it contains.
func writeText(w io.Writer, name, labels string, v any) {
	switch v := v.(type) {
	case float64:
		if labels != "" {
			labels = "{" + labels + "}"
		}
		_, _ = fmt.Fprintf(w, "%s%s %v\n", name, labels, v)
	case bool:
		n := 0.0
		if v {
			n = 1
		}
		writeText(w, name, labels, n)
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(v)) {
			label := fmt.Sprintf("key=%q", k)
			if labels != "" {
				label = labels + "," + fmt.Sprintf("value=%q", k)
			}
			writeText(w, name, label, v[k])
		}
	}
}

func getOrCreate[V expvar.Var](r *Registry, name string, create func() V) V {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.vars.Get(name); v != nil {
		t, ok := v.(V)
		if !ok {
			panic(fmt.Sprintf("metric: %q is registered with type %T", name, v))
		}
		return t
	}
	v := create()
	r.vars.Set(name, v)
	return v
}
