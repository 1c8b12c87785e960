package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/retry"
	"lavenderrill.dev/lavenderrill/internal/core/route"
)

// maxResumes bounds how often one response is resumed.
const maxResumes = 5

// resumption is the state of a download that may be resumed with a range
// request.
type resumption struct {
	etag        string
	size        int64 // of the whole body; -1 if unknown
	offset      int64 // bytes sent to the caller
	resumeCount int
	resumable   bool
}

// newResumption returns the state for resp. Only a complete representation with
// a strong entity tag can be resumed, since its bytes are the same at every
// endpoint.
func newResumption(q *call, resp *http.Response) *resumption {
	etag := resp.Header.Get("Etag")
	return &resumption{
		etag: etag,
		size: resp.ContentLength,
		resumable: q.in.Method == http.MethodGet && resp.StatusCode == http.StatusOK &&
			len(etag) > 2 && etag[0] == '"' && q.in.Header.Get("Range") == "",
	}
}

// mayResume reports whether an interruption after n further bytes may be
// resumed.
func (r *resumption) mayResume(n int64) bool {
	return r.resumable && r.resumeCount < maxResumes && (n > 0 || r.resumeCount == 0)
}

// resume requests the rest of the body from any endpoint and returns nil if none provides
// it. The backend server runs the request again, so that this is a retry after an attempt
// that has run, under the same conditions as any other.
func (c *Caller) resume(q *call, r *resumption) *attempt {
	r.resumeCount++
	q.sentAttempts++ // the attempt whose body was interrupted
	now := time.Now()
	s := q.retryState(now)
	s.Kind, s.Run, s.Sent, s.Replayable = fault.OutcomeUnknown, fault.RunUnknown, true, !q.hasBody || q.body.rest == nil
	if v := retry.Decide(s, c.budgets.Get(q.service, q.baseRank()), now); v.Action != retry.Retry {
		c.counts.resumes.Add(string(v.Reason), 1)
		return nil
	}
	a := c.nextAttempt(q)
	if a == nil { // all were tried: use any of them again
		q.tried = q.tried[:0]
		if a = c.nextAttempt(q); a == nil {
			c.counts.resumes.Add("no_endpoint", 1)
			return nil
		}
	}
	q.resume = r
	c.try(q.ctx, q, a)
	if a.fault != nil {
		c.counts.resumes.Add("failed", 1)
		return nil
	}
	if err := r.validate(a.resp); err != nil {
		a.resp.Body.Close()
		c.finish(q, a, route.Success)
		c.counts.resumes.Add("mismatch", 1)
		return nil
	}
	c.counts.resumes.Add("resumed", 1)
	return a
}

// setRange adds the range of the remaining bytes to the header of a request.
func (r *resumption) setRange(h http.Header) {
	h["Range"] = []string{"bytes=" + strconv.FormatInt(r.offset, 10) + "-"}
	h["If-Range"] = []string{r.etag}
}

// validate returns an error unless resp continues the body at the offset.
func (r *resumption) validate(resp *http.Response) error {
	if resp.StatusCode != http.StatusPartialContent {
		return fmt.Errorf("status %d, want 206", resp.StatusCode)
	}
	if got := resp.Header.Get("Etag"); got != r.etag {
		return fmt.Errorf("entity tag %q, want %q", got, r.etag)
	}
	first, last, size, err := parseContentRange(resp.Header.Get("Content-Range"))
	if err != nil {
		return err
	}
	if first != r.offset || last+1 != size || r.size >= 0 && size != r.size {
		return fmt.Errorf("range %d-%d/%d, want %d- of %d", first, last, size, r.offset, r.size)
	}
	return nil
}

// parseContentRange parses the value of a Content-Range header with a known
// size.
func parseContentRange(s string) (first, last, size int64, err error) {
	rest, ok := strings.CutPrefix(s, "bytes ")
	a, total, ok2 := strings.Cut(rest, "/")
	b, e, ok3 := strings.Cut(a, "-")
	if !ok || !ok2 || !ok3 {
		return 0, 0, 0, fmt.Errorf("invalid Content-Range %q", s)
	}
	for _, f := range []struct {
		text string
		to   *int64
	}{{b, &first}, {e, &last}, {total, &size}} {
		v, err := strconv.ParseUint(f.text, 10, 63)
		if err != nil {
			return 0, 0, 0, fmt.Errorf("parse Content-Range %q: %w", s, err)
		}
		*f.to = int64(v)
	}
	return first, last, size, nil
}
