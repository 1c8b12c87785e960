package trial

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/standin/backend"
	"lavenderrill.dev/lavenderrill/internal/standin/inject"
)

func TestMain(m *testing.M) {
	code := m.Run()
	if err := RemoveBuilds(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// TestPlatformFaults guards against faults that are set but not applied by the
// platform stand-in, which is a separate process.
func TestPlatformFaults(t *testing.T) {
	m, err := Start(t.Context(), Config{})
	require.NoError(t, err)
	defer func() { require.NoError(t, m.Close()) }()
	require.NoError(t, m.Platform.SetFaults(t.Context(), inject.Faults{Outage: inject.OutageError}, inject.Faults{}))
	resp, err := http.Post("http://"+m.Platform.Table, "application/x-amz-json-1.0", nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	st, err := m.Platform.Status(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 1, st["table"].Failed["error"])
	require.NoError(t, m.Platform.Stop(t.Context()))
}

// startServer starts a backend stand-in without a node.
func startServer(t *testing.T, m *Mesh, name string) *Server {
	t.Helper()
	s := &Server{Journal: m.Dir + "/" + name + ".journal"}
	p, err := m.startProgram(t.Context(), name, s, m.bin.Standin, "backend", "--listen", listenAddr, "--journal", s.Journal)
	require.NoError(t, err)
	s.Process = p
	return s
}

// TestProcess guards against signals without effect and against journals that
// are lost when their process is killed.
func TestProcess(t *testing.T) {
	m, err := Start(t.Context(), Config{})
	require.NoError(t, err)
	defer func() { require.NoError(t, m.Close()) }()
	a, b := startServer(t, m, "a"), startServer(t, m, "b")
	get := func(s *Server, path string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Addr+path, nil)
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	require.NoError(t, get(a, "/x"))
	require.NoError(t, a.Freeze())
	require.Error(t, get(a, "/x"))
	require.NoError(t, a.Resume())
	require.NoError(t, get(a, "/x"))
	require.NoError(t, a.Kill())
	require.Error(t, get(a, "/x"))
	require.NoError(t, a.Kill())
	require.NoError(t, get(b, "/x"))
	require.NoError(t, b.SetBehavior(t.Context(), backend.Behavior{Shed: 1}))
	st, err := b.Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, 1, st.Runs)
	require.NoError(t, b.Stop(t.Context()))
	runs, err := m.Executions()
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(runs), 3)
}

// TestClose guards against processes that outlive their mesh.
func TestClose(t *testing.T) {
	m, err := Start(t.Context(), Config{})
	require.NoError(t, err)
	s := startServer(t, m, "a")
	require.NoError(t, s.Freeze())
	require.NoError(t, m.Close())
	for _, p := range []*Process{m.Platform.Process, s.Process} {
		select {
		case <-p.Done():
		default:
			t.Errorf("%s still runs", p.Name)
		}
	}
	_, err = os.Stat(m.Dir)
	require.ErrorIs(t, err, os.ErrNotExist)
}

// TestSource guards against connections that are attributed to a process other
// than the one that opened them.
func TestSource(t *testing.T) {
	l, err := net.Listen("tcp", listenAddr)
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, c.Close()) }()
	inode := socketInode(c.LocalAddr().(*net.TCPAddr), l.Addr().String())
	require.NotEmpty(t, inode)
	require.True(t, ownsSocket(os.Getpid(), inode))
	require.False(t, ownsSocket(os.Getppid(), inode))
}
