package fault

import (
	"net/http"
	"strconv"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// MeansNotRun reports whether callers that know only statuses interpret status s as a
// statement that the request has not run and never will.
func MeansNotRun(s int) bool {
	switch s {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// WritePlain writes e as the response to a caller that knows only statuses. If the request
// did not run, a 5xx status becomes 503, which callers may retry. If it may have run, the
// status is never one that callers interpret as not run.
func WritePlain(w http.ResponseWriter, e *Error, _ mesh.RequestID) {
	status := LookupKind(e.Kind).Status
	switch {
	case e.Run == NotRun && status >= http.StatusInternalServerError:
		status = http.StatusServiceUnavailable
	case e.Run != NotRun && MeansNotRun(status):
		status = http.StatusBadGateway
	}
	h := w.Header()
	if e.Run == NotRun && e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Round(time.Millisecond).Seconds(), 'f', -1, 64))
	}
	h.Set(KindHeader, string(e.Kind))
	h.Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(e.Reason + "\n")) // fails if the caller is gone, which the server detects
}
