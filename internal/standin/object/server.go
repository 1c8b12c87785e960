package object

import (
	"bytes"
	"crypto/md5"
	"encoding/hex"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/internal/standin/inject"
)

// Config configures a Server.
type Config struct {
	Seed uint64 // seed of the random choices of faults
}

// Server is a stand-in of an object store. It implements http.Handler.
type Server struct {
	*inject.Injector

	mu      sync.RWMutex
	buckets map[string]map[string]*object
}

type object struct {
	body        []byte
	etag        string
	contentType string
	modified    time.Time
	checksums   http.Header
}

// New returns a server without buckets.
func New(cfg Config) *Server {
	s := &Server{buckets: make(map[string]map[string]*object)}
	s.Injector = inject.New(inject.Service{
		Handler:     http.HandlerFunc(s.serve),
		Operation:   operationName,
		Writes:      isWrite,
		Unavailable: func(w http.ResponseWriter) { writeError(w, false, errUnavailable) },
		Throttled:   func(w http.ResponseWriter) { writeError(w, false, errSlowDown) },
	}, cfg.Seed)
	return s
}

// splitPath splits the path of r into bucket and key.
func splitPath(r *http.Request) (bucket, key string) {
	bucket, key, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return bucket, key
}

func operationName(r *http.Request) string {
	_, key := splitPath(r)
	if key == "" {
		switch r.Method {
		case http.MethodPut:
			return "CreateBucket"
		case http.MethodHead:
			return "HeadBucket"
		}
		return "Unknown"
	}
	switch r.Method {
	case http.MethodPut:
		return "PutObject"
	case http.MethodGet:
		return "GetObject"
	case http.MethodHead:
		return "HeadObject"
	case http.MethodDelete:
		return "DeleteObject"
	}
	return "Unknown"
}

func isWrite(op string) bool {
	return op == "CreateBucket" || op == "PutObject" || op == "DeleteObject"
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if err := s.dispatch(w, r); err != nil {
		writeError(w, r.Method == http.MethodHead, err)
	}
}

func (s *Server) dispatch(w http.ResponseWriter, r *http.Request) error {
	if !strings.HasPrefix(r.Header.Get("Authorization"), "AWS4-HMAC-SHA256 ") {
		return errAccessDenied
	}
	bucket, key := splitPath(r)
	switch operationName(r) {
	case "CreateBucket":
		return s.createBucket(w, bucket)
	case "HeadBucket":
		return s.headBucket(bucket)
	case "PutObject":
		return s.putObject(w, r, bucket, key)
	case "GetObject", "HeadObject":
		return s.getObject(w, r, bucket, key)
	case "DeleteObject":
		return s.deleteObject(w, bucket, key)
	}
	return errNotImplemented
}

func (s *Server) createBucket(w http.ResponseWriter, bucket string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.buckets[bucket] != nil {
		return errBucketOwned
	}
	s.buckets[bucket] = make(map[string]*object)
	w.Header().Set("Location", "/"+bucket)
	return nil
}

func (s *Server) headBucket(bucket string) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.buckets[bucket] == nil {
		return errNoSuchBucket
	}
	return nil
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request, bucket, key string) error {
	up, err := readUpload(r)
	if err != nil {
		return err
	}
	sum := md5.Sum(up.body)
	obj := &object{
		body:        up.body,
		etag:        `"` + hex.EncodeToString(sum[:]) + `"`,
		contentType: r.Header.Get("Content-Type"),
		modified:    time.Now(),
		checksums:   up.checksums,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[bucket]
	if b == nil {
		return errNoSuchBucket
	}
	old := b[key]
	if r.Header.Get("If-None-Match") == "*" && old != nil {
		return errPrecondition
	}
	if m := r.Header.Get("If-Match"); m != "" && (old == nil || old.etag != m) {
		return errPrecondition
	}
	b[key] = obj
	maps.Copy(w.Header(), obj.checksums)
	w.Header().Set("Etag", obj.etag)
	return nil
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request, bucket, key string) error {
	s.mu.RLock()
	b := s.buckets[bucket]
	obj := b[key]
	s.mu.RUnlock()
	if b == nil {
		return errNoSuchBucket
	}
	if obj == nil {
		return errNoSuchKey
	}
	h := w.Header()
	ranged := r.Header.Get("Range") != ""
	if ranged && len(obj.body) == 0 {
		return errInvalidRange
	}
	if r.Header.Get("X-Amz-Checksum-Mode") == "ENABLED" && !ranged {
		maps.Copy(h, obj.checksums)
	}
	h.Set("Etag", obj.etag)
	h.Set("Content-Type", obj.contentType)
	if obj.contentType == "" {
		h.Set("Content-Type", "binary/octet-stream")
	}
	http.ServeContent(w, r, "", obj.modified, bytes.NewReader(obj.body))
	return nil
}

func (s *Server) deleteObject(w http.ResponseWriter, bucket, key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[bucket]
	if b == nil {
		return errNoSuchBucket
	}
	delete(b, key)
	w.WriteHeader(http.StatusNoContent)
	return nil
}
