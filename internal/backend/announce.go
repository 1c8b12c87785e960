package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// AnnouncePath is the path of announcements on the backend listener.
	AnnouncePath = "/v1/announce"

	maxAnnouncement = 4 << 10 // bytes
	maxSlots        = 1 << 16
	maxPath         = 256 // bytes
)

// Announcement is what a backend server says about itself, renewed every
// second. Health and Load are paths of its health and load endpoints, for
// operators: the gate does not ask them, since their answers lag or mislead.
type Announcement struct {
	Service     mesh.Service  `json:"service"`
	Addr        mesh.Addr     `json:"addr"`
	Instance    mesh.Instance `json:"instance,omitempty"` // changes with each start of the backend server
	Slots       int           `json:"slots"`
	Connections int           `json:"connections"`
	State       string        `json:"state"` // starting, ready or draining
	Health      string        `json:"health"`
	Load        string        `json:"load"`
	Warmup      time.Duration `json:"-"` // for which it is still slow after its start
}

// AnnouncementResponse answers an announcement.
type AnnouncementResponse struct {
	State string `json:"state"` // state that other nodes see
	Lease string `json:"lease"` // time until which to renew, as a duration
}

// AnnouncementHandler serves the backend listener.
func (g *Gate) AnnouncementHandler() http.Handler {
	opts := []kithttp.ServerOption{kithttp.ServerErrorEncoder(encodeError)}
	post := kithttp.NewServer(g.announceEndpoint(), decodeAnnouncement, kithttp.EncodeJSONResponse, opts...)
	remove := kithttp.NewServer(g.withdrawEndpoint(), kithttp.NopRequestDecoder, kithttp.EncodeJSONResponse, opts...)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != AnnouncePath:
			fault.Write(w, fault.Newf(fault.NotFound, "no such path; want %s", AnnouncePath), "")
		case r.Method == http.MethodPost:
			r.Body = http.MaxBytesReader(w, r.Body, maxAnnouncement)
			post.ServeHTTP(w, r)
		case r.Method == http.MethodDelete:
			remove.ServeHTTP(w, r)
		default:
			w.Header().Set("Allow", "POST, DELETE")
			fault.Write(w, fault.New(fault.MethodNotAllowed, "want POST or DELETE"), "")
		}
	})
}

func (g *Gate) announceEndpoint() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		if err := g.Announce(request.(Announcement)); err != nil {
			return nil, err
		}
		return g.accepted(), nil
	}
}

// Announce takes in what the backend server says about itself. It returns an
// error that names every fault of a, and changes nothing then.
func (g *Gate) Announce(a Announcement) error {
	state, err := a.check()
	if err != nil {
		return err
	}
	g.announce(a, state)
	return nil
}

// Withdraw removes the backend server: it takes no new requests, those in
// flight go on.
func (g *Gate) Withdraw() { g.withdraw() }

func (g *Gate) withdrawEndpoint() endpoint.Endpoint {
	return func(context.Context, any) (any, error) {
		g.Withdraw()
		return g.accepted(), nil
	}
}

func (g *Gate) accepted() AnnouncementResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	lease := g.conf.Lease.Truncate(time.Millisecond)
	return AnnouncementResponse{State: g.endpointState().String(), Lease: lease.String()}
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	fault.Write(w, fault.From(err), "")
}

func decodeAnnouncement(_ context.Context, r *http.Request) (any, error) {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	var a Announcement
	if err := d.Decode(&a); err != nil {
		return nil, decodeFault(err)
	}
	switch _, err := d.Token(); {
	case errors.Is(err, io.EOF):
		return a, nil
	case errors.As(err, new(*http.MaxBytesError)):
		return nil, decodeFault(err)
	default:
		return nil, fault.New(fault.BadRequest, "announcement: data after the JSON object")
	}
}

func decodeFault(err error) error {
	var big *http.MaxBytesError
	if errors.As(err, &big) {
		return fault.Newf(fault.BodyTooLarge, "announcement: limit is %d bytes", big.Limit)
	}
	return fault.Newf(fault.BadRequest, "announcement: %w", err)
}

// check returns the announced state, or an error that names every fault of a.
func (a *Announcement) check() (member.EndpointState, error) {
	state, err := parseState(a.State)
	errs := []error{err}
	if err := mesh.CheckName(string(a.Service)); err != nil {
		errs = append(errs, fmt.Errorf("service: %w", err))
	}
	if ap, err := netip.ParseAddrPort(string(a.Addr)); err != nil || ap.Port() == 0 {
		errs = append(errs, fmt.Errorf("addr: %q is not an IP address with a port", a.Addr))
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		errs = append(errs, fmt.Errorf("slots: %d is not between 1 and %d", a.Slots, maxSlots))
	}
	if a.Connections < 2 || a.Connections < a.Slots {
		errs = append(errs, fmt.Errorf("connections: %d is less than 2 or than slots", a.Connections))
	}
	errs = append(errs, checkPath("health", a.Health), checkPath("load", a.Load))
	if err := errors.Join(errs...); err != nil {
		return 0, fault.Newf(fault.BadRequest, "announcement: %w", err)
	}
	return state, nil
}

// checkPath returns an error unless s is empty or a path of bounded length.
func checkPath(field, s string) error {
	if s == "" || s[0] == '/' && len(s) <= maxPath {
		return nil
	}
	return fmt.Errorf("%s: want a path of at most %d bytes that begins with /", field, maxPath)
}

func parseState(s string) (member.EndpointState, error) {
	for _, st := range []member.EndpointState{member.Starting, member.Ready, member.Draining} {
		if st.String() == s {
			return st, nil
		}
	}
	return 0, fmt.Errorf("state: %q is not starting, ready or draining", s)
}
