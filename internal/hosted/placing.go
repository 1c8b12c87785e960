package hosted

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/peer"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// wantReports is the value of mesh.WantHeader that requests the load that a node knows
	// of endpoints. The request has the load that the sender knows.
	wantReports = "reports"
	// exchangePeriod is the time between two possible exchanges of reports with a node of
	// another zone.
	exchangePeriod = 300 * time.Millisecond
	// exchangesPerZone is the mean number of nodes of a zone that exchange reports in one
	// period. Within a zone reports spread with the requests.
	exchangesPerZone = 2
	// exchangeTimeout bounds one exchange. An older report would hardly be used.
	exchangeTimeout = 300 * time.Millisecond
)

// placesByFinish reports whether requests are placed by their expected end.
func (n *Node) placesByFinish() bool {
	s := n.snapshot()
	return s != nil && s.Placement == config.PlaceByFinish
}

// placingHandler returns the handler of requests to gate. If requests are placed by their
// expected end, it also takes the reports that come with a request, and observes the load
// of the gate and the time of requests that do not wait for a slot.
func (n *Node) placingHandler(gate http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !n.placesByFinish() {
			gate.ServeHTTP(w, r)
			return
		}
		n.caller.ReadReports(r.Header.Get(mesh.ReportsHeader))
		r.Header.Del(mesh.ReportsHeader)
		free := n.reportOwnLoad(1)
		name, started := r.Header.Get(mesh.RouteHeader), time.Now()
		h := &headerTimer{ResponseWriter: w}
		gate.ServeHTTP(h, r)
		n.reportOwnLoad(0)
		// A server that fails at once is not fast.
		if free && h.status < http.StatusBadRequest && !h.at.IsZero() {
			n.caller.ObserveOwn(name, h.at.Sub(started))
		}
	})
}

// headerTimer records the status of a response and when its header was written. The time of
// the body depends on the receiver.
type headerTimer struct {
	http.ResponseWriter
	status int
	at     time.Time
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (h *headerTimer) Unwrap() http.ResponseWriter { return h.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (h *headerTimer) WriteHeader(status int) {
	if h.at.IsZero() && status >= http.StatusOK {
		h.status, h.at = status, time.Now()
	}
	h.ResponseWriter.WriteHeader(status)
}

// reportOwnLoad reports the load of the gate to the caller side, with arriving more
// requests. It reports whether a slot is free.
func (n *Node) reportOwnLoad(arriving int) bool {
	s := n.gate.Status()
	if s.Limit <= 0 {
		return false
	}
	n.caller.ReportOwn(float64(s.InFlight+s.Queued+arriving)/float64(s.Limit), s.Unserved)
	return s.Queued == 0 && s.InFlight < s.Limit
}

// exchangeReports exchanges reports with nodes of other zones until ctx ends. Without it, a
// zone that sends nothing to others would not know their load when it needs to.
func (n *Node) exchangeReports(ctx context.Context) error {
	t := time.NewTicker(exchangePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if !n.placesByFinish() {
			continue
		}
		n.reportOwnLoad(0) // a gate without requests reports nothing else
		if addr := n.drawExchange(n.peer.Members()); addr != "" {
			if err := n.exchangeWith(ctx, addr); err != nil {
				n.metrics.Counter("reports_failed").Add(1)
				n.log.Info("no load reports from a node of another zone", zap.String("addr", string(addr)), zap.Error(err))
			}
		}
	}
}

// drawExchange returns the address of a random live node of another zone, or "" if this
// node has no exchange in this period.
func (n *Node) drawExchange(ms []member.Member) mesh.Addr {
	home, others := 0, 0
	var addr mesh.Addr
	for i := range ms {
		switch {
		case ms[i].Status != member.Alive:
		case ms[i].Zone == n.nodeSettings.Load().Zone:
			home++
		default:
			if others++; rand.IntN(others) == 0 {
				addr = ms[i].Addr
			}
		}
	}
	if rand.IntN(max(home, 1)) >= exchangesPerZone {
		return ""
	}
	return addr
}

func (n *Node) exchangeWith(ctx context.Context, addr mesh.Addr) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, _, err := n.configTransport.RoundTrip(ctx, &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: string(addr), Path: "/"},
		Header: http.Header{
			mesh.HopHeader:     {peer.HopToken(meshKey(n.nodeSettings.Load()))},
			mesh.WantHeader:    {wantReports},
			mesh.ReportsHeader: {string(n.caller.AppendReports(nil))},
		},
	})
	if err != nil {
		return err
	}
	n.caller.ReadReports(resp.Header.Get(mesh.ReportsHeader))
	return resp.Body.Close()
}

// serveReports answers an exchange of reports.
func (n *Node) serveReports(w http.ResponseWriter, r *http.Request) {
	n.caller.ReadReports(r.Header.Get(mesh.ReportsHeader))
	w.Header().Set(mesh.ReportsHeader, string(n.caller.AppendReports(nil)))
	w.WriteHeader(http.StatusNoContent)
}
