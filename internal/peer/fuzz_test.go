package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/peer/peerpb"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

var fuzzTime = time.Unix(1_700_000_000, 0)

func fuzzMessage() member.Message {
	return member.Message{
		Kind: member.Relay, From: "a", Sequence: 7, Target: "b", Addr: "127.0.0.1:1", Version: 9,
		Updates: []member.Update{{Member: member.Member{
			ID: "c", Zone: "z", Addr: "127.0.0.1:2", Service: "s", Slots: 20, Endpoint: member.Ready, Incarnation: 5, Status: member.Left,
		}, Age: 3 * time.Second}},
	}
}

// FuzzDatagram guards against a body that crashes the decoder, or that decodes
// to a message that the member list or the encoder cannot handle.
func FuzzDatagram(f *testing.F) {
	c := codec{[]byte("key")}
	b, err := c.encode(fuzzTime, fuzzMessage())
	require.NoError(f, err)
	f.Add(b[tagSize:])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeBody(fuzzTime, b)
		if err != nil || len(b) > maxDatagramBytes-tagSize {
			return
		}
		require.LessOrEqual(t, m.Kind, member.Gossip)
		for _, u := range m.Updates {
			require.LessOrEqual(t, u.Status, member.Left)
			require.NotEmpty(t, u.ID)
		}
		l := member.New(member.Config{Self: member.Member{ID: "self", Addr: "127.0.0.1:9"}, Rand: testRand(), UpdateSize: encodedSize, BudgetBytes: updateBudgetBytes}, fuzzTime)
		l.Receive(fuzzTime, "127.0.0.1:3", m)
		l.Tick(fuzzTime.Add(time.Second))
	})
}

// TestDatagram guards against accepting a datagram that was altered, truncated
// or sent too long ago.
func TestDatagram(t *testing.T) {
	c := codec{[]byte("key")}
	b, err := c.encode(fuzzTime, fuzzMessage())
	require.NoError(t, err)
	m, err := c.decode(fuzzTime, b)
	require.NoError(t, err)
	require.Equal(t, fuzzMessage(), m)
	for i := range b {
		d := append([]byte(nil), b...)
		d[i] ^= 1
		_, err := c.decode(fuzzTime, d)
		require.ErrorIs(t, err, errWrongTag)
		_, err = c.decode(fuzzTime, b[:i])
		require.ErrorIs(t, err, errWrongTag)
	}
	_, err = c.decode(fuzzTime.Add(datagramWindow+time.Second), b)
	require.ErrorIs(t, err, errOutsideWindow)
}

// FuzzDelta guards against a delta that crashes the decoder, that differs after
// it is encoded and decoded again, or that is applied although the resulting
// manifest has another digest.
func FuzzDelta(f *testing.F) {
	base, _ := testManifest(1, 1)
	next, parts := testManifest(2, 1)
	changed, removed := config.Diff(base, next)
	d := config.Delta{Base: 1, Target: 2, Digest: next.Digest(), Changed: changed, Removed: removed, Parts: parts[2:]}
	b, err := proto.Marshal(toDelta(d))
	require.NoError(f, err)
	f.Add(b)
	f.Add(b[:len(b)/2])
	f.Fuzz(func(t *testing.T, b []byte) {
		var pb peerpb.Delta
		if proto.Unmarshal(b, &pb) != nil {
			return
		}
		d, err := fromDelta(&pb)
		if err != nil {
			return
		}
		again, err := fromDelta(toDelta(d))
		require.NoError(t, err)
		require.Equal(t, d, again)
		m, err := config.Apply(base, d)
		if err != nil {
			return
		}
		require.Equal(t, d.Digest, m.Digest())
		require.NotEqual(t, mesh.Digest{}, m.Digest())
	})
}
