package dynamo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// newFakeClient returns a client of a server that handles table and object
// requests with f.
func newFakeClient(t *testing.T, f http.HandlerFunc) *Client {
	t.Helper()
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return New(Config{
		Table: "t", Bucket: "b", TableURL: s.URL, ObjectURL: s.URL, AccessKey: "a", SecretKey: "s",
		Timeout: 200 * time.Millisecond, Reads: 1000, Writes: 1000, Burst: 100,
	})
}

func writeTableError(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"__type":"com.amazonaws.dynamodb.v20120810#%s","message":"m"}`, code)
}

func requireFault(t *testing.T, err error, k fault.Kind, run fault.RunState) {
	t.Helper()
	require.Error(t, err)
	f := fault.From(err)
	require.Equal(t, k, f.Kind, "%v", err)
	require.Equal(t, run, f.Run, "%v", err)
}

// TestFailures guards against a write that may have taken effect but is
// reported as not run, and against the reverse.
func TestFailures(t *testing.T) {
	for name, tc := range map[string]struct {
		f     http.HandlerFunc
		read  fault.Kind
		write fault.Kind
	}{
		"closed connection": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, fault.PlatformUnavailable, fault.OutcomeUnknown},
		"no response": {func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, fault.PlatformUnavailable, fault.OutcomeUnknown},
		"server error":   {func(w http.ResponseWriter, _ *http.Request) { writeTableError(w, 500, "InternalServerError") }, fault.PlatformUnavailable, fault.OutcomeUnknown},
		"gateway error":  {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "bad gateway", http.StatusBadGateway) }, fault.PlatformUnavailable, fault.OutcomeUnknown},
		"throttled":      {func(w http.ResponseWriter, _ *http.Request) { writeTableError(w, 400, "ThrottlingException") }, fault.PlatformUnavailable, fault.PlatformUnavailable},
		"no table":       {func(w http.ResponseWriter, _ *http.Request) { writeTableError(w, 400, "ResourceNotFoundException") }, fault.PlatformUnavailable, fault.PlatformUnavailable},
		"not authorised": {func(w http.ResponseWriter, _ *http.Request) { writeTableError(w, 400, "AccessDeniedException") }, fault.PlatformUnavailable, fault.PlatformUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newFakeClient(t, tc.f)
			_, err := c.Head(t.Context())
			requireFault(t, err, tc.read, fault.NotRun)
			_, err = c.Claim(t.Context(), "k", "o", time.Minute)
			requireFault(t, err, tc.write, fault.LookupKind(tc.write).Run)
		})
	}
}

// TestRefusedConnection guards against reporting an unknown outcome for a
// request that was never sent.
func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	url := "http://" + l.Addr().String()
	require.NoError(t, l.Close())
	c := New(Config{Table: "t", Bucket: "b", TableURL: url, ObjectURL: url, AccessKey: "a", SecretKey: "s"})
	_, err = c.Claim(t.Context(), "k", "o", time.Minute)
	requireFault(t, err, fault.PlatformUnavailable, fault.NotRun)
}

// TestUnsureStays guards against a rejected retry that hides that the first
// attempt, whose response was lost, may have taken effect.
func TestUnsureStays(t *testing.T) {
	var n atomic.Int64
	c := newFakeClient(t, func(w http.ResponseWriter, _ *http.Request) {
		if n.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		writeTableError(w, 400, "AccessDeniedException")
	})
	_, err := c.Claim(t.Context(), "k", "o", time.Minute)
	requireFault(t, err, fault.OutcomeUnknown, fault.RunUnknown)
}

// TestBudget guards against a node that exceeds its request budget, and checks
// that the refusal is counted.
func TestBudget(t *testing.T) {
	var n atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n.Add(1)
		_, _ = io.WriteString(w, "{}")
	}))
	defer s.Close()
	m := metric.New()
	c := New(Config{Table: "t", TableURL: s.URL, AccessKey: "a", SecretKey: "s", Burst: 3, Reads: 0.001, Metrics: m})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	for range 3 {
		_, err := c.Head(ctx)
		require.NoError(t, err)
	}
	_, err := c.Head(ctx)
	requireFault(t, err, fault.PlatformUnavailable, fault.NotRun)
	require.EqualValues(t, 3, n.Load())
	require.Equal(t, "1", m.CounterGroup(RefusalCounter).Get("read_budget").String())
	require.Equal(t, "3", m.CounterGroup(RequestCounter).Get("get_head_ok").String())
	_, err = c.PollHead(ctx)
	require.NoError(t, err, "the reader role has its own budget")
}

// TestWrongObject guards against accepting an object whose content does not
// match the digest in its name.
func TestWrongObject(t *testing.T) {
	c := newFakeClient(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/b/manifest/") {
			w.WriteHeader(http.StatusNotFound)
			_, _ = io.WriteString(w, `<Error><Code>NoSuchKey</Code></Error>`)
			return
		}
		_, _ = io.WriteString(w, "other")
	})
	_, err := c.Part(t.Context(), mesh.DigestOf([]byte("part")))
	require.ErrorIs(t, err, errDigestMismatch)
	requireFault(t, err, fault.PlatformUnavailable, fault.NotRun)
	_, err = c.Manifest(t.Context(), mesh.DigestOf([]byte("manifest")))
	requireFault(t, err, fault.NotFound, fault.NotRun)
}

// TestClassify guards against retrying requests that cannot succeed.
func TestClassify(t *testing.T) {
	canceled := func(codes ...string) error {
		e := &types.TransactionCanceledException{}
		for _, c := range codes {
			e.CancellationReasons = append(e.CancellationReasons, types.CancellationReason{Code: aws.String(c)})
		}
		return fmt.Errorf("operation: %w", e)
	}
	require.Equal(t, conditionFailed, classify(canceled("None", "TransactionConflict", "ConditionalCheckFailed")))
	require.Equal(t, contended, classify(canceled("None", "TransactionConflict")))
	require.Equal(t, throttled, classify(canceled("ThrottlingError", "TransactionConflict")))
	require.Equal(t, unavailable, classify(canceled("ValidationError")))
	require.Equal(t, ambiguous, classify(errors.New("connection reset")))
	require.True(t, conditionFailedAt(canceled("None", "ConditionalCheckFailed"), changeRow))
	require.False(t, conditionFailedAt(canceled("None"), changeRow))
}
