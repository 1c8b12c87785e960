package hosted

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/backend"
	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/internal/settings"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

// departureModel is one node, its backend server and the row of the node in the store. Its
// events are executed one at a time by the code of the node; TestDepartureOrders plays all
// their orders.
type departureModel struct {
	env   *departureEnv
	fault departureFault

	node *Node
	row  *fakeRow

	server   mesh.Instance
	born     int64
	sequence int64
	leaving  bool
	starts   int

	late         *platform.Heartbeat    // made, and not delivered yet
	awaited      *platform.BackendStart // departure whose acknowledgement the server waits for
	acknowledged map[mesh.Instance]bool // instances whose departure was acknowledged
}

// departureEnv is what all models of one test share, since none of it changes.
type departureEnv struct {
	node *Node // with a peer that knows no other node
}

const serverAddr mesh.Addr = "127.0.0.1:2"

var errUnhealthy = errors.New("health check failed")

// askHealth is the health check of the server.
func (m *departureModel) askHealth(context.Context, mesh.Addr, string) (mesh.Instance, error) {
	if m.leaving {
		return "", errUnhealthy
	}
	return m.server, nil
}

// departureFault undoes one of the changes that keep departures.
type departureFault string

const (
	noDepartureFault  departureFault = ""
	dropUnknownLeave  departureFault = "the leave of an unknown instance is dropped"
	acknowledgeAtOnce departureFault = "a departure is acknowledged before the store has it"
	ignoreRow         departureFault = "a process does not read the departures of the one before"
	overwriteRow      departureFault = "a delayed write takes effect whatever the row is"
)

func newDepartureEnv(t *testing.T) *departureEnv {
	n := &Node{log: zap.NewNop(), metrics: metric.New(), rows: newNodeRows(nil), source: newSource(sourceConfig{})}
	n.nodeSettings.Store(&settings.Hosted{ID: "n", Zone: "z", Peer: string(ownAddr), Store: "127.0.0.1:1"})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	n.listeners = map[string]net.Listener{"peer": l}
	n.packetConn, err = net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { n.packetConn.Close() })
	n.peer, err = n.newPeer()
	require.NoError(t, err)
	return &departureEnv{node: n}
}

func newDepartureModel(e *departureEnv, f departureFault) *departureModel {
	m := &departureModel{env: e, fault: f, row: &fakeRow{instant: true}, acknowledged: make(map[mesh.Instance]bool)}
	m.startServer()
	m.startNode()
	return m
}

// startNode starts a process that knows nothing of the one before.
func (m *departureModel) startNode() {
	n := &Node{log: zap.NewNop(), askHealth: m.askHealth, recheck: make(chan struct{}, 1), peer: m.env.node.peer}
	n.nodeSettings.Store(&settings.Hosted{Service: "s", Backend: serverAddr})
	n.config.Store(&platform.Config{Snapshot: &config.Snapshot{}})
	n.gate = backend.New(backend.Config{Snapshot: n.snapshot})
	c := m.row.config()
	c.self, c.log, c.onRead = platform.NodeRow{Addr: ownAddr, ID: "n"}, zap.NewNop(), n.adoptDepartures
	c.onKnown = n.confirmAfterRead
	if m.fault == ignoreRow {
		c.onRead = func([]platform.BackendStart) {}
	}
	n.registration = newRegistration(c) // its attempts are events
	m.node = n
}

func (m *departureModel) startServer() {
	m.starts++
	m.server, m.born, m.sequence, m.leaving = mesh.Instance(fmt.Sprint("i", m.starts)), int64(1000*m.starts), 0, false
}

func (m *departureModel) newHeartbeat() platform.Heartbeat {
	m.sequence++
	return platform.Heartbeat{Instance: m.server, Service: "s", Addr: serverAddr, Slots: 4, Sequence: m.sequence, Born: m.born, Draining: m.leaving}
}

// ended is a context for calls that must not wait.
var ended = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

func (m *departureModel) deliver(b platform.Heartbeat) {
	_ = m.node.handleHeartbeat(b)
	if b.Draining {
		m.awaited = &platform.BackendStart{Instance: b.Instance, Born: b.Born}
		m.awaitAcknowledgement()
	}
}

// awaitAcknowledgement acknowledges the departure that the server waits for, if the node
// does that now.
func (m *departureModel) awaitAcknowledgement() {
	if m.awaited == nil {
		return
	}
	if m.node.keepDeparture(ended, m.awaited.Instance, m.awaited.Born) == nil || m.fault == acknowledgeAtOnce {
		m.acknowledged[m.awaited.Instance] = true
		m.awaited = nil
	}
}

// event is a step of the model. It reports whether it can happen now.
type event struct {
	name string
	run  func(m *departureModel) bool
}

var departureEvents = []event{
	{"heartbeat", func(m *departureModel) bool {
		m.deliver(m.newHeartbeat())
		return m.sequence <= 5
	}},
	{"heartbeat is delayed", func(m *departureModel) bool {
		if m.late != nil {
			return false
		}
		b := m.newHeartbeat()
		m.late = &b
		return m.sequence <= 5
	}},
	{"late heartbeat arrives", func(m *departureModel) bool {
		if m.late == nil {
			return false
		}
		m.deliver(*m.late)
		m.late = nil
		return true
	}},
	{"server begins to drain", func(m *departureModel) bool {
		was := m.leaving
		m.leaving = true
		m.deliver(m.newHeartbeat())
		return !was
	}},
	{"leave message", func(m *departureModel) bool {
		m.leaving = true
		if m.fault == dropUnknownLeave && m.node.instance.id != m.server {
			m.acknowledged[m.server] = true
			return true
		}
		m.node.handleLeave(m.server, m.born)
		m.awaited = &platform.BackendStart{Instance: m.server, Born: m.born}
		m.awaitAcknowledgement()
		return true
	}},
	{"next server starts", func(m *departureModel) bool {
		if !m.leaving || m.starts == 2 {
			return false
		}
		m.startServer()
		return true
	}},
	{"store takes a call", func(m *departureModel) bool {
		before, read := m.row.ver, m.node.registration.isRead()
		_ = m.node.registration.update(context.Background())
		m.awaitAcknowledgement()
		return m.row.ver != before || !read
	}},
	{"store loses a response", func(m *departureModel) bool { return m.lose(false) }},
	{"store delays a write", func(m *departureModel) bool { return m.lose(true) }},
	{"delayed write takes effect", func(m *departureModel) bool {
		if len(m.row.delayed) == 0 {
			return false
		}
		if m.fault == overwriteRow {
			m.row.delayed[0].Ver = m.row.row.Ver
		}
		m.row.release()
		return true
	}},
	{"node is killed and starts", func(m *departureModel) bool {
		m.awaited = nil // its connection is closed
		m.startNode()
		return true
	}},
	{"health check", func(m *departureModel) bool {
		before := m.fingerprint()
		m.node.checkHealth(context.Background())
		return m.fingerprint() != before
	}},
}

// lose runs an attempt of the registration whose write gets no response, and takes effect
// at once or later.
func (m *departureModel) lose(delay bool) bool {
	m.row.lost, m.row.delay = 1, delay
	defer func() { m.row.lost, m.row.delay = 0, false }()
	if len(m.row.delayed) > 0 {
		return false
	}
	_ = m.node.registration.update(context.Background())
	m.awaitAcknowledgement()
	return m.row.lost == 0
}

// fingerprint identifies the state, as far as it decides what can follow.
func (m *departureModel) fingerprint() string {
	n, r := m.node, m.node.registration
	var b strings.Builder
	fmt.Fprintf(&b, "%s %d %t %d|", m.server, m.sequence, m.leaving, m.starts)
	if m.late != nil {
		fmt.Fprintf(&b, "%s %d %t", m.late.Instance, m.late.Sequence, m.late.Draining)
	}
	fmt.Fprintf(&b, "|%t", m.awaited != nil)
	fmt.Fprintf(&b, "|%v|%v %v|%v|", slices.Sorted(maps.Keys(m.acknowledged)), m.row.row.Ver > 0, m.row.row.Departed, len(m.row.delayed) > 0 && m.row.delayed[0].Ver == m.row.row.Ver)
	for _, d := range m.row.delayed {
		fmt.Fprintf(&b, "%v ", d.Departed)
	}
	t := n.instance
	fmt.Fprintf(&b, "|%s %d %d %t %t %v %v %s|", t.id, t.born, t.sequence, t.left, t.draining, t.replaced, t.departed, n.healthy)
	if u := n.unconfirmed; u != nil {
		fmt.Fprintf(&b, "%+v", u.reports)
	}
	fmt.Fprintf(&b, "|%s|%t %v %v %t", n.gate.Status().State, r.known, r.row.Departed, r.departed, r.known && r.row.Ver == m.row.row.Ver)
	return b.String()
}

// brokenRule returns the rule that the state breaks, or "".
func (m *departureModel) brokenRule() string {
	st := m.node.gate.Status().State
	if id := m.node.instance.id; m.acknowledged[id] && st == member.Ready {
		return fmt.Sprintf("DRAIN: %s gets requests after its departure was acknowledged", id)
	}
	return ""
}

// departureSearch is a search through the orders of events.
type departureSearch struct {
	env    *departureEnv
	fault  departureFault
	events []event
	depth  int // largest number of events in an order
}

// replay returns the model after the events of path, or nil if the last one cannot happen.
func (s *departureSearch) replay(path []uint8) *departureModel {
	m := newDepartureModel(s.env, s.fault)
	for _, i := range path {
		if !s.events[i].run(m) {
			return nil
		}
	}
	return m
}

// run plays all orders of events, breadth first and each state once. It returns the number
// of states and the first order that breaks a rule.
func (s *departureSearch) run(t *testing.T) (states int, broken string) {
	seen := map[string]bool{newDepartureModel(s.env, s.fault).fingerprint(): true}
	for level, paths := 0, [][]uint8{nil}; level < s.depth && len(paths) > 0; level++ {
		var next [][]uint8
		for _, path := range paths {
			for i := range s.events {
				p := append(slices.Clone(path), uint8(i))
				m := s.replay(p)
				if m == nil {
					continue
				}
				if rule := m.brokenRule(); rule != "" {
					return len(seen), rule + ": " + s.describe(p)
				}
				key := m.fingerprint()
				if seen[key] {
					continue
				}
				seen[key] = true
				next = append(next, p)
				if s.fault == noDepartureFault && !m.leaving {
					m.requireService(t, s.describe(p))
				}
			}
		}
		paths = next
	}
	return len(seen), ""
}

func (s *departureSearch) describe(path []uint8) string {
	names := make([]string, len(path))
	for i, p := range path {
		names[i] = s.events[p].name
	}
	return strings.Join(names, ", ")
}

// requireService checks that a server that stays gets requests once the store answers and
// its heartbeats arrive.
func (m *departureModel) requireService(t *testing.T, order string) {
	m.row.release()
	for range 2 {
		_ = m.node.registration.update(context.Background())
	}
	for range 2 {
		m.deliver(m.newHeartbeat())
	}
	require.Equal(t, member.Ready, m.node.gate.Status().State, order)
	require.Equal(t, m.server, m.node.instance.id, order)
}

// storeEvents are the events of one server that leaves and a store with faults.
var storeEvents = []string{
	"heartbeat is delayed", "late heartbeat arrives", "leave message",
	"store takes a call", "store delays a write", "delayed write takes effect", "node is killed and starts",
}

// TestDepartureOrders guards against an order of heartbeats, leave messages, kills, and
// calls to the store that are lost or late, in which a backend server gets requests after
// its departure was acknowledged, or one that stays gets none. It also shows that the
// orders are sufficient: each change that keeps departures, undone, breaks the rule.
func TestDepartureOrders(t *testing.T) {
	var ofStore []event
	for _, e := range departureEvents {
		if slices.Contains(storeEvents, e.name) {
			ofStore = append(ofStore, e)
		}
	}
	require.Len(t, ofStore, len(storeEvents))
	env := newDepartureEnv(t)
	for _, s := range []departureSearch{
		{env: env, events: departureEvents, depth: 5},
		{env: env, events: ofStore, depth: 8},
		{env: env, events: departureEvents, depth: 5, fault: dropUnknownLeave},
		{env: env, events: ofStore, depth: 8, fault: acknowledgeAtOnce},
		{env: env, events: ofStore, depth: 8, fault: ignoreRow},
		{env: env, events: ofStore, depth: 8, fault: overwriteRow},
	} {
		t.Run(fmt.Sprintf("%d events/%s", len(s.events), s.fault), func(t *testing.T) {
			start := time.Now()
			states, broken := s.run(t)
			t.Logf("%d states in %v %s", states, time.Since(start).Round(time.Millisecond), broken)
			require.Equal(t, s.fault == noDepartureFault, broken == "", broken)
		})
	}
}

// TestReplacedUnconfirmedStart guards against a drain that changes nothing, since reports
// are still awaited of an instance that a health check has found replaced.
func TestReplacedUnconfirmedStart(t *testing.T) {
	s := departureSearch{env: newDepartureEnv(t), events: departureEvents}
	var path []uint8
	for _, name := range []string{"server begins to drain", "next server starts", "health check", "server begins to drain"} {
		path = append(path, uint8(slices.IndexFunc(s.events, func(e event) bool { return e.name == name })))
	}
	require.Equal(t, member.Ready, s.replay(path[:3]).node.gate.Status().State)
	require.Equal(t, member.Draining, s.replay(path).node.gate.Status().State)
}
