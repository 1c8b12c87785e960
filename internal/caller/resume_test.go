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
)

// content serves body under an entity tag and cuts each response after at most
// limit bytes, or never if limit is 0.
func content(body []byte, etag string, limit int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Etag", etag)
		if limit == 0 {
			http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(body))
			return
		}
		cw := &cutWriter{ResponseWriter: w, left: limit}
		http.ServeContent(cw, r, "", time.Time{}, bytes.NewReader(body))
		if cw.left <= 0 {
			panic(http.ErrAbortHandler)
		}
	}
}

type cutWriter struct {
	http.ResponseWriter
	left int
}

func (w *cutWriter) Write(p []byte) (int, error) {
	n := min(len(p), w.left)
	_, _ = w.ResponseWriter.Write(p[:n])
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	if w.left -= n; w.left <= 0 {
		return n, http.ErrAbortHandler
	}
	return n, nil
}

// TestResume guards against a cut download that ends cleanly, is put together
// from two versions of the content, or is not resumed although it can be.
func TestResume(t *testing.T) {
	body := make([]byte, 300<<10)
	r := rand.NewChaCha8([32]byte{1})
	_, _ = r.Read(body)
	other := bytes.Clone(body)
	other[len(other)-1]++
	refuse := func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	whole := func(w http.ResponseWriter, r *http.Request) { r.Header.Del("Range"); content(body, `"v1"`, 0)(w, r) }
	ignores := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del("If-Range")
		content(other, `"v2"`, 0)(w, r)
	}
	for name, c := range map[string]struct {
		first, second http.HandlerFunc
		header        []string
		ok            bool
	}{
		"resumed":             {content(body, `"v1"`, 100<<10), content(body, `"v1"`, 0), nil, true},
		"resumed twice":       {content(body, `"v1"`, 100<<10), content(body, `"v1"`, 150<<10), nil, true},
		"cut at once":         {content(body, `"v1"`, 1), content(body, `"v1"`, 0), nil, true},
		"other version":       {content(body, `"v1"`, 100<<10), content(other, `"v2"`, 0), nil, false},
		"ignores If-Range":    {content(body, `"v1"`, 100<<10), ignores, nil, false},
		"weak tag":            {content(body, `W/"v1"`, 100<<10), content(body, `W/"v1"`, 0), nil, false},
		"no tag":              {content(body, "", 100<<10), content(body, "", 0), nil, false},
		"range of the caller": {content(body, `"v1"`, 100<<10), content(body, `"v1"`, 0), []string{"Range", "bytes=5-"}, false},
		"failed":              {content(body, `"v1"`, 100<<10), refuse, nil, false},
		"whole again":         {content(body, `"v1"`, 100<<10), whole, nil, false},
		"wrong range": {content(body, `"v1"`, 100<<10), func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Etag", `"v1"`)
			w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", 10, len(body)-1, len(body)))
			w.WriteHeader(http.StatusPartialContent)
			_, _ = w.Write(body[10:])
		}, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			b, _, _ := newPair(t, c.first, c.second)
			a := b.do("GET", "/guide", "", c.header...)
			if c.ok {
				require.NoError(t, a.err)
				require.True(t, string(body) == a.body, "body differs")
				require.Equal(t, strconv.Itoa(len(body)), a.header.Get("Content-Length"))
				require.NotNil(t, b.reg.ByReason("caller_resume").Get("resumed"))
			} else {
				require.Error(t, a.err, "a truncated body must not end cleanly")
				require.Equal(t, "1", b.reg.Counter("caller_aborted").String())
			}
			b.requireIdle()
		})
	}
}

// TestTruncated guards against a cut body of unknown length that ends cleanly.
func TestTruncated(t *testing.T) {
	b := newBench(t, newGate(t, "e1", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("part"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	a := b.do("GET", "/guide", "")
	require.Error(t, a.err)
	require.Equal(t, "part", a.body)
}

// TestResumeWithoutProgress guards against a download that is resumed for ever.
func TestResumeWithoutProgress(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 100<<10)
	g := newGate(t, "e1", content(body, `"v1"`, 10))
	b := newBench(t, g)
	require.Error(t, b.do("GET", "/guide", "").err)
	require.LessOrEqual(t, g.hits.Load(), int64(1+maxResumes))
	b.requireIdle()
}

// TestContentRange guards the parser against values that are no byte range of
// known size.
func TestContentRange(t *testing.T) {
	first, last, size, err := contentRange("bytes 5-9/10")
	require.NoError(t, err)
	require.Equal(t, []int64{5, 9, 10}, []int64{first, last, size})
	for _, s := range []string{"", "bytes", "bytes 5-9", "bytes 5-9/*", "bytes */10", "items 5-9/10", "bytes -5-9/10", "bytes 5/10"} {
		_, _, _, err := contentRange(s)
		require.Error(t, err, s)
	}
}
