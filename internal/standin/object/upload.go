package object

import (
	"bufio"
	"bytes"
	"crypto/sha1"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"hash"
	"hash/crc32"
	"hash/crc64"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// upload is the decoded body of a PutObject request.
type upload struct {
	body      []byte
	checksums http.Header // X-Amz-Checksum-*
}

// readUpload reads, decodes and verifies the body of r.
func readUpload(r *http.Request) (*upload, error) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, errIncompleteBody
	}
	u := &upload{body: raw, checksums: make(http.Header)}
	sha := r.Header.Get("X-Amz-Content-Sha256")
	if strings.HasPrefix(sha, "STREAMING-") {
		if err := u.decodeChunked(raw, r.Header); err != nil {
			return nil, err
		}
	} else if len(sha) == hex.EncodedLen(sha256.Size) {
		if sum := sha256.Sum256(raw); hex.EncodeToString(sum[:]) != sha {
			return nil, errContentSHA
		}
	}
	for k, v := range r.Header {
		if _, ok := checksumHashes[k]; ok {
			u.checksums[k] = v
		}
	}
	return u, u.verifyChecksums()
}

// decodeChunked sets the body from the aws-chunked encoding raw: chunks with a
// hexadecimal size and optional extensions, followed by trailers.
func (u *upload) decodeChunked(raw []byte, h http.Header) error {
	br := bufio.NewReader(bytes.NewReader(raw))
	var body []byte
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return errIncompleteBody
		}
		size, _, _ := strings.Cut(strings.TrimRight(line, "\r\n"), ";")
		n, err := strconv.ParseUint(size, 16, 31)
		if err != nil {
			return errIncompleteBody
		}
		if n == 0 {
			break
		}
		chunk := make([]byte, n+2)
		if _, err := io.ReadFull(br, chunk); err != nil || string(chunk[n:]) != "\r\n" {
			return errIncompleteBody
		}
		body = append(body, chunk[:n]...)
	}
	trailer, err := textproto.NewReader(br).ReadMIMEHeader()
	if err != nil && !errors.Is(err, io.EOF) {
		return errIncompleteBody
	}
	for k, v := range trailer {
		if _, ok := checksumHashes[k]; ok {
			u.checksums[k] = v
		}
	}
	if want := h.Get("X-Amz-Decoded-Content-Length"); want != strconv.Itoa(len(body)) {
		return errIncompleteBody
	}
	u.body = body
	return nil
}

// crc64NVMEPolynomial is the polynomial of CRC-64/NVME in reversed bit order.
const crc64NVMEPolynomial = 0x9a6c9329ac4bc9b5

// checksumHashes maps the checksum headers to their hash functions.
var checksumHashes = map[string]func() hash.Hash{
	"X-Amz-Checksum-Crc32":     func() hash.Hash { return crc32.NewIEEE() },
	"X-Amz-Checksum-Crc32c":    func() hash.Hash { return crc32.New(crc32.MakeTable(crc32.Castagnoli)) },
	"X-Amz-Checksum-Crc64nvme": func() hash.Hash { return crc64.New(crc64.MakeTable(crc64NVMEPolynomial)) },
	"X-Amz-Checksum-Sha1":      sha1.New,
	"X-Amz-Checksum-Sha256":    sha256.New,
}

func (u *upload) verifyChecksums() error {
	for k, v := range u.checksums {
		h := checksumHashes[k]()
		_, _ = h.Write(u.body)
		if base64.StdEncoding.EncodeToString(h.Sum(nil)) != v[0] {
			return errBadDigest
		}
	}
	return nil
}
