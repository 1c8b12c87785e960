package operator

import (
	"context"
	"expvar"
	"net/http"
	"net/url"
	"strconv"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/dynamo"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/pkg/client"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// maxHistoryEntries bounds the entries of one history response.
const maxHistoryEntries = 1000

// Config configures a Server. All fields must be set.
type Config struct {
	ID       mesh.NodeID
	Token    string
	Platform *dynamo.Client

	Content func() Content                                                            // configuration that the node serves
	Publish func(context.Context, mesh.Version, config.Manifest, []config.Part) error // sends a committed version to other nodes
	Survey  func(context.Context, mesh.Version) ([]client.ZoneStatus, error)
	Members func() []member.Member
	Explain func(client.ExplainRequest) client.Explanation
	Ready   func() bool

	Metrics *metric.Registry
	Log     *zap.Logger
}

// Server serves the operator API.
type Server struct {
	cfg     Config
	calls   *expvar.Int
	refused *expvar.Map
}

// New returns a Server for c.
func New(c Config) *Server {
	return &Server{
		cfg:     c,
		calls:   c.Metrics.Counter("operator_calls"),
		refused: c.Metrics.CounterGroup("operator_refused"),
	}
}

// Handler returns the handler of the API, the health checks and the metrics.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/validate", newHandler(s, decodeBody[client.Edit], s.validate))
	mux.Handle("POST /v1/plan", newHandler(s, decodeBody[client.Edit], s.plan))
	mux.Handle("POST /v1/accept", newHandler(s, decodeBody[client.AcceptRequest], s.accept))
	mux.Handle("POST /v1/restore", newHandler(s, decodeBody[client.RestoreRequest], s.restore))
	mux.Handle("POST "+client.ExplainPath, newHandler(s, decodeBody[client.ExplainRequest], s.explain))
	mux.Handle("GET /v1/status", newHandler(s, decodeNumber("version"), s.status))
	mux.Handle("GET /v1/uncounted", newHandler(s, decodeNothing, s.uncounted))
	mux.Handle("GET /v1/history", newHandler(s, decodeNumber("limit"), s.history))
	mux.Handle("GET /v1/documents", newHandler(s, decodeKey, s.documents))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.Handle("GET /debug/vars", s.cfg.Metrics.Handler())
	mux.HandleFunc("/", refuseUnknownCall)
	return mux
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.cfg.Ready() {
		fault.Write(w, fault.New(fault.NotReady, "node does not hold the newest known version or is stopping"), "")
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func decodeNumber(name string) func(*http.Request) (uint64, error) {
	return func(r *http.Request) (uint64, error) {
		t := r.URL.Query().Get(name)
		if t == "" {
			return 0, nil
		}
		n, err := strconv.ParseUint(t, 10, 64)
		if err != nil {
			return 0, fault.Newf(fault.BadRequest, "query parameter %s: %w", name, err)
		}
		return n, nil
	}
}

func decodeNothing(*http.Request) (struct{}, error) { return struct{}{}, nil }

func decodeKey(r *http.Request) (config.DocumentKey, error) {
	q, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return "", fault.Newf(fault.BadRequest, "query: %w", err)
	}
	return config.DocumentKey(q.Get("key")), nil
}

func (s *Server) explain(_ context.Context, r client.ExplainRequest) (client.Explanation, error) {
	return s.cfg.Explain(r), nil
}
