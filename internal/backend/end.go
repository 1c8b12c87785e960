package backend

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/admit"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// maxEndNotice limits the body of a notice by a stopping node, in bytes.
const maxEndNotice = 64 << 10

// serveEndNotice handles the notice of a stopping node: those of its requests that wait
// here are refused unless they can end before it does.
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
	g.wakeDecided(g.machine.LimitEnd(time.Now(), end, func(t *admit.Ticket) bool { return calls[t.Data.(*call).callID] }))
	g.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
