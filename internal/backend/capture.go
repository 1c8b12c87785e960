package backend

import "net/http"

// captureWriter passes a response to the wrapped writer and keeps a copy of it,
// unless the body exceeds maxStoredBytes.
type captureWriter struct {
	http.ResponseWriter
	status   int
	header   http.Header
	body     []byte
	tooLarge bool // the body exceeds maxStoredBytes
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (c *captureWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (c *captureWriter) WriteHeader(status int) {
	c.status = status
	c.header = c.Header().Clone()
	c.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (c *captureWriter) Write(p []byte) (int, error) {
	if len(c.body)+len(p) > maxStoredBytes {
		c.tooLarge, c.body = true, nil
	}
	if !c.tooLarge {
		c.body = append(c.body, p...)
	}
	return c.ResponseWriter.Write(p)
}

// storedResponse returns the captured response, or nil if it is too large or
// has trailers, which are not captured.
func (c *captureWriter) storedResponse() *storedResponse {
	if c.tooLarge || len(c.header["Trailer"]) > 0 {
		return nil
	}
	return &storedResponse{status: c.status, header: c.header, body: c.body}
}
