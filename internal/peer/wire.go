package peer

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/peer/peerpb"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

func toMember(u member.Update) *peerpb.Member {
	return &peerpb.Member{
		Id:          string(u.ID),
		Zone:        string(u.Zone),
		Addr:        string(u.Addr),
		Service:     string(u.Service),
		Slots:       uint32(min(max(u.Slots, 0), math.MaxInt32)),
		Endpoint:    uint32(u.Endpoint),
		Incarnation: u.Incarnation,
		Status:      uint32(u.Status),
		Age:         uint32(max(u.Age, 0) / time.Second),
	}
}

func toMembers(us []member.Update) []*peerpb.Member {
	out := make([]*peerpb.Member, len(us))
	for i, u := range us {
		out[i] = toMember(u)
	}
	return out
}

// encodedSize returns the size in bytes of u as an element of a repeated field.
func encodedSize(u member.Update) int {
	n := proto.Size(toMember(u))
	return n + protowire.SizeVarint(uint64(n)) + 1
}

func fromMember(m *peerpb.Member) (member.Update, error) {
	if m.GetId() == "" || m.GetAddr() == "" || m.GetStatus() > uint32(member.Left) ||
		m.GetEndpoint() > uint32(member.Warming) || m.GetSlots() > math.MaxInt32 {
		return member.Update{}, fmt.Errorf("%w: member %q", errMalformed, m.GetId())
	}
	return member.Update{
		Member: member.Member{
			ID:          mesh.NodeID(m.GetId()),
			Zone:        mesh.AvailabilityZone(m.GetZone()),
			Addr:        mesh.Addr(m.GetAddr()),
			Service:     mesh.Service(m.GetService()),
			Slots:       int(m.GetSlots()),
			Endpoint:    member.EndpointState(m.GetEndpoint()),
			Incarnation: m.GetIncarnation(),
			Status:      member.Status(m.GetStatus()),
		},
		Age: time.Duration(m.GetAge()) * time.Second,
	}, nil
}

func fromMembers(ms []*peerpb.Member) ([]member.Update, error) {
	out := make([]member.Update, len(ms))
	for i, m := range ms {
		u, err := fromMember(m)
		if err != nil {
			return nil, err
		}
		out[i] = u
	}
	return out, nil
}

func toEntries(es []config.Entry) []*peerpb.Entry {
	out := make([]*peerpb.Entry, len(es))
	for i, e := range es {
		out[i] = &peerpb.Entry{Key: string(e.Key), Revision: uint64(e.Revision), Part: e.Part[:]}
	}
	return out
}

func fromEntries(es []*peerpb.Entry) ([]config.Entry, error) {
	out := make([]config.Entry, len(es))
	for i, e := range es {
		d, err := fromDigest(e.GetPart())
		if err != nil {
			return nil, err
		}
		out[i] = config.Entry{Key: config.DocumentKey(e.GetKey()), Revision: mesh.Revision(e.GetRevision()), Part: d}
	}
	return out, nil
}

func fromDigest(b []byte) (mesh.Digest, error) {
	if len(b) != mesh.DigestSize {
		return mesh.Digest{}, fmt.Errorf("%w: digest of %d bytes", errMalformed, len(b))
	}
	return mesh.Digest(b), nil
}

func toParts(ps []config.Part) [][]byte {
	out := make([][]byte, len(ps))
	for i, p := range ps {
		out[i] = p
	}
	return out
}

func fromParts(bs [][]byte) []config.Part {
	out := make([]config.Part, len(bs))
	for i, b := range bs {
		out[i] = b
	}
	return out
}

func toDelta(d config.Delta) *peerpb.Delta {
	pb := &peerpb.Delta{
		Base:    uint64(d.Base),
		Target:  uint64(d.Target),
		Digest:  d.Digest[:],
		Changed: toEntries(d.Changed),
		Parts:   toParts(d.Parts),
	}
	for _, k := range d.Removed {
		pb.Removed = append(pb.Removed, string(k))
	}
	return pb
}

func fromDelta(pb *peerpb.Delta) (config.Delta, error) {
	digest, err := fromDigest(pb.GetDigest())
	if err != nil {
		return config.Delta{}, err
	}
	changed, err := fromEntries(pb.GetChanged())
	if err != nil {
		return config.Delta{}, err
	}
	d := config.Delta{
		Base:    mesh.Version(pb.GetBase()),
		Target:  mesh.Version(pb.GetTarget()),
		Digest:  digest,
		Changed: changed,
		Parts:   fromParts(pb.GetParts()),
	}
	for _, k := range pb.GetRemoved() {
		d.Removed = append(d.Removed, config.DocumentKey(k))
	}
	return d, nil
}
