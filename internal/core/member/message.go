package member

import (
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Kind is the type of a protocol message.
type Kind uint8

// The kinds of messages.
const (
	Probe  Kind = iota + 1 // asks for an Ack
	Ack                    // answers a Probe
	Relay                  // asks the receiver to probe the target
	Gossip                 // carries updates and is not answered
)

// String returns the lower-case name of k.
func (k Kind) String() string {
	switch k {
	case Probe:
		return "probe"
	case Ack:
		return "ack"
	case Relay:
		return "relay"
	case Gossip:
		return "gossip"
	}
	return "invalid"
}

// Update is the record of a member and, if it is dead or left, the time since
// it became so. The age lets all nodes forget a member at about the same time,
// whenever they receive the update.
type Update struct {
	Member
	Age time.Duration
}

// Message is one datagram of the membership protocol.
type Message struct {
	Kind     Kind
	From     mesh.NodeID
	Sequence uint64
	// Target is the member to be probed in a Probe or Relay, and the member
	// that answered in an Ack. It reveals that an address was reused.
	Target  mesh.NodeID
	Addr    mesh.Addr    // address of Target, in a Relay
	Version mesh.Version // configuration version of the sender
	Updates []Update
}

// Datagram is a message and its destination address.
type Datagram struct {
	To      mesh.Addr
	Message Message
}
