package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Source reads configuration from the platform. A nil function behaves like a
// platform that does not answer.
type Source struct {
	Head     func(context.Context) (mesh.Version, mesh.Digest, error)
	Manifest func(context.Context, mesh.Digest) (config.Manifest, error)
	Part     func(context.Context, mesh.Digest) (config.Part, error)
	Nodes    func(context.Context) ([]mesh.Addr, error) // peer addresses in the node rows
}

// errNoPlatform is the error of each Source function that is nil.
var errNoPlatform = errors.New("the platform is not configured")

func (s *Source) setDefaults() {
	if s.Head == nil {
		s.Head = func(context.Context) (mesh.Version, mesh.Digest, error) { return 0, mesh.Digest{}, errNoPlatform }
	}
	if s.Manifest == nil {
		s.Manifest = func(context.Context, mesh.Digest) (config.Manifest, error) { return config.Manifest{}, errNoPlatform }
	}
	if s.Part == nil {
		s.Part = func(context.Context, mesh.Digest) (config.Part, error) { return nil, errNoPlatform }
	}
	if s.Nodes == nil {
		s.Nodes = func(context.Context) ([]mesh.Addr, error) { return nil, errNoPlatform }
	}
}

// Config configures a Peer.
type Config struct {
	Self     member.Member  // ID, Zone and Addr must be set; Addr is the address that other nodes use
	Key      []byte         // shared key of the mesh
	Join     []mesh.Addr    // peer addresses of nodes to join
	Listener net.Listener   // closed when Run returns
	Packet   net.PacketConn // closed when Run returns; same port as Listener
	// ConnState is called on every state change of a connection that Listener accepted; may
	// be nil. See http.Server.ConnState.
	ConnState func(net.Conn, http.ConnState)
	// KeepAlive reports whether the connection of a new request may be used again after its
	// response; nil for always.
	KeepAlive func() bool
	MaxHeader int          // size of the header of a request in bytes; the default is 1.1 MB
	Gate      http.Handler // serves requests forwarded by other nodes; nil responds with 404
	Platform  Source

	// OnSnapshot is called with every new snapshot, in order of version, before
	// this node announces the version to other nodes. It must not call Publish.
	OnSnapshot func(*config.Snapshot)
	// ExternalConfig means that the configuration comes from another source: it
	// is neither read from Platform nor exchanged with other nodes. The owner
	// of the Peer reports the current version with SetVersion.
	ExternalConfig bool
	// OnVersion is called with the version of another node if it is higher than
	// that of this node and ExternalConfig is set.
	OnVersion func(mesh.Version)
	// MergeInterval is the mean time between two reads of the node rows by one
	// of the watchers of the mesh. The reads find nodes that formed a separate
	// mesh. If it is 0, only a node that has lost contact with other members
	// reads the rows.
	MergeInterval time.Duration
	// DeadProbeInterval is the time between two probes of members that are dead or
	// left recently; 10 s if 0.
	DeadProbeInterval time.Duration
	// ShutdownTimeout limits the wait for requests in flight at the end of Run;
	// 5 s if 0.
	ShutdownTimeout time.Duration
	// MaxJoinDelay limits the delay between two attempts to join; 15 s if 0.
	MaxJoinDelay time.Duration

	// OnMembers is called with all remembered members after a change, at most
	// once every 20 ms. The slice belongs to the callee.
	OnMembers func([]member.Member)

	Metrics *metric.Registry // nil means a new one
	Log     *zap.Logger      // nil disables logging
}

func (c *Config) setDefaults() error {
	var errs []error
	if c.Self.ID == "" {
		errs = append(errs, errors.New("peer: Self.ID is empty"))
	}
	if c.Self.Addr == "" {
		errs = append(errs, errors.New("peer: Self.Addr is empty"))
	}
	if len(c.Key) == 0 {
		errs = append(errs, errors.New("peer: Key is empty"))
	}
	if c.Listener == nil || c.Packet == nil {
		errs = append(errs, errors.New("peer: Listener and Packet must be set"))
	}
	if c.Gate == nil {
		c.Gate = http.NotFoundHandler()
	}
	if c.OnSnapshot == nil {
		c.OnSnapshot = func(*config.Snapshot) {}
	}
	if c.OnVersion == nil {
		c.OnVersion = func(mesh.Version) {}
	}
	if c.ShutdownTimeout <= 0 {
		c.ShutdownTimeout = defaultShutdownTimeout
	}
	if c.MaxJoinDelay <= 0 {
		c.MaxJoinDelay = defaultMaxJoinDelay
	}
	if c.OnMembers == nil {
		c.OnMembers = func([]member.Member) {}
	}
	if c.Metrics == nil {
		c.Metrics = metric.New()
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	c.Platform.setDefaults()
	return errors.Join(errs...)
}
