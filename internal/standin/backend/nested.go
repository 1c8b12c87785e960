package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// callNested makes the nested call of r through the node, if r asks for one. The
// call carries the depth of r and its remaining deadline.
func (s *Server) callNested(ctx context.Context, r *http.Request, q url.Values) error {
	depth, err := strconv.Atoi(q.Get("depth"))
	if err != nil || depth <= 0 || s.cfg.CallerAddr == "" {
		return nil
	}
	path := q.Get("next")
	if path == "" {
		path = r.URL.Path
	}
	q.Set("depth", strconv.Itoa(depth-1))
	target := url.URL{Scheme: "http", Host: s.cfg.CallerAddr, Path: path, RawQuery: q.Encode()}
	out, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return err
	}
	out.Host = r.Host
	if h := q.Get("host"); h != "" {
		out.Host = h
	}
	if d := r.Header.Get(mesh.DepthHeader); d != "" {
		out.Header.Set(mesh.DepthHeader, d)
	}
	if deadline, ok := ctx.Deadline(); ok {
		out.Header.Set(mesh.DeadlineHeader, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	resp, err := s.nestedClient.Do(out)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("nested call: status %d", resp.StatusCode)
	}
	return nil
}
