package backend

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/admit"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// maxEndNotice limits the body of a notice by a stopping node, in bytes.
const maxEndNotice = 64 << 10

// end returns the end of the node that sent c, or zero if it is not known to stop. Gate.mu
// must be held.
func (c *call) end() time.Time {
	if c.EndBy.IsZero() || !c.senderEnd.IsZero() && c.senderEnd.Before(c.EndBy) {
		return c.senderEnd
	}
	return c.EndBy
}

func (g *Gate) addActive(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active[c] = struct{}{}
}

func (g *Gate) removeActive(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.active, c)
}

// limitEnd sets the end of the node that sent c. g.mu must be held.
func (g *Gate) limitEnd(c *call, end time.Time) {
	if !c.senderEnd.IsZero() && !end.Before(c.senderEnd) {
		return
	}
	c.senderEnd = end
	for _, b := range c.paced {
		hop.LimitEnd(b, end)
	}
}

// serveEndNotice handles the notice of a stopping node. Those of its requests that wait
// here are refused unless they can end before it does, and the bodies of the others get the
// link first.
func (g *Gate) serveEndNotice(w http.ResponseWriter, r *http.Request) {
	ms, err := strconv.ParseInt(r.Header.Get(mesh.EndHeader), 10, 64)
	if err != nil {
		http.Error(w, mesh.EndHeader+" is not a number of milliseconds", http.StatusBadRequest)
		return
	}
	end := time.Now().Add(time.Duration(ms) * time.Millisecond)
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEndNotice))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	calls := make(map[string]bool)
	for line := range strings.Lines(string(b)) {
		calls[strings.TrimSpace(line)] = true
	}
	g.mu.Lock()
	for c := range g.active {
		if calls[c.callID] {
			g.limitEnd(c, end)
		}
	}
	g.wakeDecided(g.machine.LimitEnd(time.Now(), end, func(t *admit.Ticket) bool { return calls[t.Data.(*call).callID] }))
	g.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
