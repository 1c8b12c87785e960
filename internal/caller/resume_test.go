package caller

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// contentHandler serves body with an entity tag and aborts each response after
// at most limit bytes, or never if limit is 0.
func contentHandler(body []byte, etag string, limit int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Etag", etag)
		if limit == 0 {
			http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(body))
			return
		}
		cw := &truncatingWriter{ResponseWriter: w, left: limit}
		http.ServeContent(cw, r, "", time.Time{}, bytes.NewReader(body))
		if cw.left <= 0 {
			panic(http.ErrAbortHandler)
		}
	}
}

type truncatingWriter struct {
	http.ResponseWriter
	left int
}

func (w *truncatingWriter) Write(p []byte) (int, error) {
	n := min(len(p), w.left)
	_, _ = w.ResponseWriter.Write(p[:n])
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	if w.left -= n; w.left <= 0 {
		return n, http.ErrAbortHandler
	}
	return n, nil
}

// TestResume guards against a truncated download that ends cleanly, is
// assembled from two versions of the content, or is not resumed although it can
// be.
func TestResume(t *testing.T) {
	body := make([]byte, 300<<10)
	r := rand.NewChaCha8([32]byte{1})
	_, _ = r.Read(body)
	other := bytes.Clone(body)
	other[len(other)-1]++
	refuse := func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	ignoreRange := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del("Range")
		contentHandler(body, `"v1"`, 0)(w, r)
	}
	ignoreIfRange := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del("If-Range")
		contentHandler(other, `"v2"`, 0)(w, r)
	}
	for name, c := range map[string]struct {
		first, second http.HandlerFunc
		header        []string
		ok            bool
	}{
		"resumed":             {contentHandler(body, `"v1"`, 100<<10), contentHandler(body, `"v1"`, 0), nil, true},
		"resumed twice":       {contentHandler(body, `"v1"`, 100<<10), contentHandler(body, `"v1"`, 150<<10), nil, true},
		"cut at once":         {contentHandler(body, `"v1"`, 1), contentHandler(body, `"v1"`, 0), nil, true},
		"other version":       {contentHandler(body, `"v1"`, 100<<10), contentHandler(other, `"v2"`, 0), nil, false},
		"ignores If-Range":    {contentHandler(body, `"v1"`, 100<<10), ignoreIfRange, nil, false},
		"weak tag":            {contentHandler(body, `W/"v1"`, 100<<10), contentHandler(body, `W/"v1"`, 0), nil, false},
		"no tag":              {contentHandler(body, "", 100<<10), contentHandler(body, "", 0), nil, false},
		"range of the caller": {contentHandler(body, `"v1"`, 100<<10), contentHandler(body, `"v1"`, 0), []string{"Range", "bytes=5-"}, false},
		"failed":              {contentHandler(body, `"v1"`, 100<<10), refuse, nil, false},
		"whole again":         {contentHandler(body, `"v1"`, 100<<10), ignoreRange, nil, false},
		"wrong range": {contentHandler(body, `"v1"`, 100<<10), func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Etag", `"v1"`)
			w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", 10, len(body)-1, len(body)))
			w.WriteHeader(http.StatusPartialContent)
			_, _ = w.Write(body[10:])
		}, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			b, _, _ := newTwoGateCaller(t, c.first, c.second)
			a := b.do("GET", "/guide", "", c.header...)
			if c.ok {
				require.NoError(t, a.err)
				require.True(t, string(body) == a.body, "body differs")
				require.Equal(t, strconv.Itoa(len(body)), a.header.Get("Content-Length"))
				require.NotNil(t, b.reg.CounterGroup("caller_resume").Get("resumed"))
			} else {
				require.Error(t, a.err, "a truncated body must not end cleanly")
				require.Equal(t, "1", b.reg.Counter("caller_aborted").String())
			}
			b.requireIdle()
		})
	}
}

// TestTruncated guards against a truncated body of unknown length that ends
// cleanly.
func TestTruncated(t *testing.T) {
	b := newTestCaller(t, newGate(t, "e1", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("part"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	a := b.do("GET", "/guide", "")
	require.Error(t, a.err)
	require.Equal(t, "part", a.body)
}

// TestResumeWithoutProgress guards against a download that is resumed forever.
func TestResumeWithoutProgress(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 100<<10)
	g := newGate(t, "e1", contentHandler(body, `"v1"`, 10))
	b := newTestCaller(t, g)
	require.Error(t, b.do("GET", "/guide", "").err)
	require.LessOrEqual(t, g.hits.Load(), int64(1+maxResumes))
	b.requireIdle()
}

// TestResumeIsRetry guards against a response that is resumed, and its request so run, where
// a retry is not allowed: of a request that is not idempotent, whatever its method, beyond
// the attempts of the route, for a backend server, or without a budget.
func TestResumeIsRetry(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 300<<10)
	for name, c := range map[string]struct {
		path   string
		header []string
		drain  bool // the budget is used up before
		runs   int64
	}{
		"not idempotent":      {path: "/once", runs: 1},
		"one attempt":         {path: "/single", runs: 1},
		"three attempts":      {path: "/guide", runs: 3},
		"of a backend server": {path: "/guide", header: []string{mesh.DepthHeader, "1"}, runs: 1},
		"without a budget":    {path: "/guide", drain: true, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			cut := contentHandler(body, `"v1"`, 20<<10)
			b, g1, g2 := newTwoGateCaller(t, cut, cut)
			budget := b.budgets.Get("s", "bulk")
			for range 100 {
				budget.RecordRequest(time.Now())
			}
			for c.drain && budget.TryWithdraw(time.Now()) {
			}
			a := b.do("GET", c.path, "", c.header...)
			require.Error(t, a.err, "a truncated body must not end cleanly")
			require.Equal(t, c.runs, g1.hits.Load()+g2.hits.Load())
			b.requireIdle()
		})
	}
}

// TestContentRange guards against accepting a value that is not a byte range
// with a known size.
func TestContentRange(t *testing.T) {
	first, last, size, err := parseContentRange("bytes 5-9/10")
	require.NoError(t, err)
	require.Equal(t, []int64{5, 9, 10}, []int64{first, last, size})
	for _, s := range []string{"", "bytes", "bytes 5-9", "bytes 5-9/*", "bytes */10", "items 5-9/10", "bytes -5-9/10", "bytes 5/10"} {
		_, _, _, err := parseContentRange(s)
		require.Error(t, err, s)
	}
}
