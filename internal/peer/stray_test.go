package peer

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/quota"
	"lavenderrill.dev/lavenderrill/internal/peer/peerpb"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// TestStrayPeerAnswer guards against a node that counts as joined, or a survey as complete,
// by a response to another kind of request, which decodes without an error.
func TestStrayPeerAnswer(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
	}))
	defer s.Close()
	addr := mesh.Addr(s.Listener.Addr().String())
	p := startPeer(t, 1, nil)
	require.Error(t, p.sync(t.Context(), addr))

	members := []*peerpb.SurveyMember{{Id: "a", Zone: "z", Addr: string(addr)}, {Id: "b", Zone: "z", Addr: string(addr)}}
	counts := p.surveyGroup(t.Context(), 3, members)
	require.Equal(t, 2, counts["z"].Members)
	require.Zero(t, counts["z"].Current)

	_, err := p.requestShares(t.Context(), p.members()[0], []quota.Demand{{Key: quota.Key{Route: "r"}, Rate: 1}})
	require.NoError(t, err)
	other := p.members()[0]
	other.Addr = addr
	_, err = p.requestShares(t.Context(), other, []quota.Demand{{Key: quota.Key{Route: "r"}, Rate: 1}})
	require.Error(t, err)

	parts, missing, err := p.fetchPartsFrom(t.Context(), addr, []mesh.Digest{{1}})
	require.NoError(t, err)
	require.Empty(t, parts)
	require.Len(t, missing, 1)
	require.Zero(t, p.Version())
}
