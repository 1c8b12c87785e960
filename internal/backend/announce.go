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

	maxAnnouncementBytes = 4 << 10
	maxSlots             = 1 << 16
	maxPathBytes         = 256
)

// Announcement is the registration of a backend server, which it renews every
// second. Health and Load are the paths of its health and load endpoints, for
// operators. The gate does not poll them, since their answers may be outdated
// or wrong.
type Announcement struct {
	Service     mesh.Service  `json:"service"`
	Addr        mesh.Addr     `json:"addr"`
	Instance    mesh.Instance `json:"instance,omitempty"` // differs for each start of the backend server
	Slots       int           `json:"slots"`
	Connections int           `json:"connections"`
	State       string        `json:"state"` // starting, ready or draining
	Health      string        `json:"health"`
	Load        string        `json:"load"`
	Warmup      time.Duration `json:"-"` // remaining time in which the backend server is slow after its start
	Inherited   bool          `json:"-"` // was running before this process, whose predecessor sent requests to it
}

// AnnouncementResponse is the response to an announcement.
type AnnouncementResponse struct {
	State string `json:"state"` // endpoint state published to other nodes
	Lease string `json:"lease"` // duration within which to renew the announcement
}

// AnnouncementHandler returns the handler of the backend listener.
func (g *Gate) AnnouncementHandler() http.Handler {
	opts := []kithttp.ServerOption{kithttp.ServerErrorEncoder(encodeError)}
	post := kithttp.NewServer(g.announceEndpoint(), decodeAnnouncement, kithttp.EncodeJSONResponse, opts...)
	remove := kithttp.NewServer(g.withdrawEndpoint(), kithttp.NopRequestDecoder, kithttp.EncodeJSONResponse, opts...)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != AnnouncePath:
			fault.Write(w, fault.Newf(fault.NotFound, "no such path; want %s", AnnouncePath), "")
		case r.Method == http.MethodPost:
			r.Body = http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)
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
		return g.announcementResponse(), nil
	}
}

// Announce validates and applies an announcement. If a is invalid, Announce
// returns an error that lists every invalid field and changes nothing.
func (g *Gate) Announce(a Announcement) error {
	state, err := a.validate()
	if err != nil {
		return err
	}
	g.applyAnnouncement(a, state)
	return nil
}

// Withdraw removes the backend server. It gets no new requests; requests in
// flight continue.
func (g *Gate) Withdraw() { g.withdraw() }

func (g *Gate) withdrawEndpoint() endpoint.Endpoint {
	return func(context.Context, any) (any, error) {
		g.Withdraw()
		return g.announcementResponse(), nil
	}
}

func (g *Gate) announcementResponse() AnnouncementResponse {
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
		return nil, decodeError(err)
	}
	switch _, err := d.Token(); {
	case errors.Is(err, io.EOF):
		return a, nil
	case errors.As(err, new(*http.MaxBytesError)):
		return nil, decodeError(err)
	default:
		return nil, fault.New(fault.BadRequest, "announcement: data after the JSON object")
	}
}

func decodeError(err error) error {
	var big *http.MaxBytesError
	if errors.As(err, &big) {
		return fault.Newf(fault.BodyTooLarge, "announcement: limit is %d bytes", big.Limit)
	}
	return fault.Newf(fault.BadRequest, "announcement: %w", err)
}

// validate returns the announced state, or an error that lists every invalid
// field.
func (a *Announcement) validate() (member.EndpointState, error) {
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

// checkPath returns an error unless s is empty or begins with / and has at most
// maxPathBytes bytes.
func checkPath(field, s string) error {
	if s == "" || s[0] == '/' && len(s) <= maxPathBytes {
		return nil
	}
	return fmt.Errorf("%s: want a path of at most %d bytes that begins with /", field, maxPathBytes)
}

func parseState(s string) (member.EndpointState, error) {
	for _, st := range []member.EndpointState{member.Starting, member.Ready, member.Draining} {
		if st.String() == s {
			return st, nil
		}
	}
	return 0, fmt.Errorf("state: %q is not starting, ready or draining", s)
}
