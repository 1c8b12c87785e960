package backend

import "net/http"

// capture keeps a copy of a response that passes through it, up to maxStored
// bytes of body.
type capture struct {
	http.ResponseWriter
	status int
	header http.Header
	body   []byte
	large  bool // the body is larger than maxStored
}

// Unwrap serves http.ResponseController.
func (c *capture) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (c *capture) WriteHeader(status int) {
	c.status = status
	c.header = c.Header().Clone()
	c.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (c *capture) Write(p []byte) (int, error) {
	if len(c.body)+len(p) > maxStored {
		c.large, c.body = true, nil
	}
	if !c.large {
		c.body = append(c.body, p...)
	}
	return c.ResponseWriter.Write(p)
}

// stored returns the captured response, or nil if it is too large or has
// trailers, which are not captured.
func (c *capture) stored() *stored {
	if c.large || len(c.header["Trailer"]) > 0 {
		return nil
	}
	return &stored{status: c.status, header: c.header, body: c.body}
}
