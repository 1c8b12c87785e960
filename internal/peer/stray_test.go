package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/quota"
	"lavenderrill.dev/lavenderrill/internal/peer/peerpb"
	"lavenderrill.dev/lavenderrill/internal/standin/endless"
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

// TestEndlessPeerResponse guards against a response without end, of whatever has the
// address of another node, that a node keeps until its memory is used up or waits for.
func TestEndlessPeerResponse(t *testing.T) {
	const (
		calls   = maxConnsPerPeer
		timeout = 500 * time.Millisecond
		slack   = time.Second
		// maxHeap allows the largest response for each call, and the copies of a buffer that grows.
		maxHeap = calls * 4 * maxViewBytes
	)
	p := startPeer(t, 1, nil)
	for name, call := range map[string]func(context.Context, mesh.Addr){
		"sync": func(ctx context.Context, a mesh.Addr) { require.Error(t, p.sync(ctx, a)) },
		"survey": func(ctx context.Context, a mesh.Addr) {
			counts := p.surveyGroup(ctx, 3, []*peerpb.SurveyMember{{Id: "a", Zone: "z", Addr: string(a)}})
			require.Zero(t, counts["z"].Current)
		},
		"quota": func(ctx context.Context, a mesh.Addr) {
			other := p.members()[0]
			other.Addr = a
			_, err := p.requestShares(ctx, other, []quota.Demand{{Key: quota.Key{Route: "r"}, Rate: 1}})
			require.Error(t, err)
		},
	} {
		for form, r := range endless.Responses {
			t.Run(name+"/"+form, func(t *testing.T) {
				r.Head = strings.Replace(r.Head, "application/json", "application/proto", 1)
				srv, err := endless.NewServer("127.0.0.1:0", r)
				require.NoError(t, err)
				start := time.Now()
				peak := endless.PeakHeap(func() {
					var pending sync.WaitGroup
					for range calls {
						pending.Go(func() {
							ctx, cancel := context.WithTimeout(t.Context(), timeout)
							defer cancel()
							call(ctx, mesh.Addr(srv.Addr()))
						})
					}
					pending.Wait()
				})
				require.Less(t, time.Since(start), timeout+slack)
				require.Less(t, peak, uint64(maxHeap))
				require.NoError(t, srv.Close(), "closes once the node has closed its connections")
			})
		}
	}
}

// TestLargePeerResponse guards against a call that reads a response above the limit until its
// deadline, although its failure is known before.
func TestLargePeerResponse(t *testing.T) {
	const timeout = 5 * time.Second
	p := startPeer(t, 1, nil)
	for _, form := range []string{"body of huge length", "chunked body", "body without length", "failure", "failure in chunks"} {
		t.Run(form, func(t *testing.T) {
			r := endless.Responses[form]
			r.Head = strings.Replace(r.Head, "application/json", "application/proto", 1)
			srv, err := endless.NewServer("127.0.0.1:0", r)
			require.NoError(t, err)
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			start := time.Now()
			require.Error(t, p.sync(ctx, mesh.Addr(srv.Addr())))
			require.Less(t, time.Since(start), timeout/2)
			require.NoError(t, srv.Close(), "closes once the node has closed its connections")
		})
	}
}
