package peer

import (
	"crypto/hmac"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/peer/peerpb"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// maxDatagramBytes limits the size of a datagram, so that it fits in an
	// Ethernet frame.
	maxDatagramBytes = 1400
	// updateBudgetBytes is the space for updates in a datagram. The rest is for
	// the tag and the other fields, which hold two node ids and an address.
	updateBudgetBytes = maxDatagramBytes - 250
	// datagramWindow is the largest accepted difference between the time in a
	// datagram and the local clock. It is shorter than the time for which
	// members that left are remembered, so that a replayed datagram cannot
	// restore such a member.
	datagramWindow = 10 * time.Minute
)

// Reasons for which a datagram is dropped.
var (
	errWrongTag      = errors.New("wrong tag")
	errOutsideWindow = errors.New("outside the time window")
	errMalformed     = errors.New("malformed message")
)

// codec encodes and decodes datagrams.
type codec struct{ key []byte }

// encode returns the tag followed by the protobuf message of m.
func (c codec) encode(now time.Time, m member.Message) ([]byte, error) {
	pb := &peerpb.Datagram{
		Kind:     uint32(m.Kind),
		From:     string(m.From),
		Sequence: m.Sequence,
		Target:   string(m.Target),
		Addr:     string(m.Addr),
		Version:  uint64(m.Version),
		Time:     uint32(now.Unix()),
		Updates:  toMembers(m.Updates),
	}
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, tagSize, 256), pb)
	if err != nil {
		return nil, fmt.Errorf("encode datagram: %w", err)
	}
	if len(b) > maxDatagramBytes {
		return nil, fmt.Errorf("encode datagram: %d bytes, want at most %d", len(b), maxDatagramBytes)
	}
	copy(b, hmacSum(c.key, b[tagSize:])[:tagSize])
	return b, nil
}

// decode checks the tag and the time of b and returns its message.
func (c codec) decode(now time.Time, b []byte) (member.Message, error) {
	if len(b) < tagSize || !hmac.Equal(b[:tagSize], hmacSum(c.key, b[tagSize:])[:tagSize]) {
		return member.Message{}, errWrongTag
	}
	return decodeBody(now, b[tagSize:])
}

// decodeBody decodes the protobuf message of a datagram.
func decodeBody(now time.Time, b []byte) (member.Message, error) {
	var pb peerpb.Datagram
	if err := proto.Unmarshal(b, &pb); err != nil {
		return member.Message{}, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if d := now.Sub(time.Unix(int64(pb.GetTime()), 0)); d > datagramWindow || d < -datagramWindow {
		return member.Message{}, errOutsideWindow
	}
	if pb.GetFrom() == "" || pb.GetKind() < uint32(member.Probe) || pb.GetKind() > uint32(member.Gossip) {
		return member.Message{}, errMalformed
	}
	us, err := fromMembers(pb.GetUpdates())
	if err != nil {
		return member.Message{}, err
	}
	return member.Message{
		Kind:     member.Kind(pb.GetKind()),
		From:     mesh.NodeID(pb.GetFrom()),
		Sequence: pb.GetSequence(),
		Target:   mesh.NodeID(pb.GetTarget()),
		Addr:     mesh.Addr(pb.GetAddr()),
		Version:  mesh.Version(pb.GetVersion()),
		Updates:  us,
	}, nil
}
