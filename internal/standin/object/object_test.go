package object_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/aws/smithy-go"
	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/standin/inject"
	"lavenderrill.dev/lavenderrill/internal/standin/object"
)

// startStore returns a stand-in with the bucket b, an SDK client without retries
// and the URL.
func startStore(t *testing.T) (*object.Server, *s3.Client, string) {
	t.Helper()
	s := object.New(object.Config{Seed: 1})
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	c := s3.New(s3.Options{
		Region:       "local",
		BaseEndpoint: aws.String(h.URL),
		Credentials:  credentials.NewStaticCredentialsProvider("access", "secret", ""),
		Retryer:      aws.NopRetryer{},
		UsePathStyle: true,
	})
	_, err := c.CreateBucket(t.Context(), &s3.CreateBucketInput{Bucket: aws.String("b")})
	require.NoError(t, err)
	return s, c, h.URL
}

func putObject(ctx context.Context, c *s3.Client, key, body string) error {
	_, err := c.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String("b"), Key: aws.String(key), Body: strings.NewReader(body)})
	return err
}

func getObject(t *testing.T, c *s3.Client, key, byteRange string) string {
	t.Helper()
	in := &s3.GetObjectInput{Bucket: aws.String("b"), Key: aws.String(key)}
	if byteRange != "" {
		in.Range = aws.String(byteRange)
	}
	out, err := c.GetObject(t.Context(), in)
	require.NoError(t, err)
	defer out.Body.Close()
	b, err := io.ReadAll(out.Body)
	require.NoError(t, err)
	return string(b)
}

// TestObjects guards against bodies that change between upload and download,
// and against errors that the SDK does not map to its error types.
func TestObjects(t *testing.T) {
	_, c, _ := startStore(t)
	require.NoError(t, putObject(t.Context(), c, "part/x", "hello world"))
	require.Equal(t, "hello world", getObject(t, c, "part/x", ""))
	require.Equal(t, "world", getObject(t, c, "part/x", "bytes=6-"))
	head, err := c.HeadObject(t.Context(), &s3.HeadObjectInput{Bucket: aws.String("b"), Key: aws.String("part/x")})
	require.NoError(t, err)
	require.EqualValues(t, 11, aws.ToInt64(head.ContentLength))

	_, err = c.DeleteObject(t.Context(), &s3.DeleteObjectInput{Bucket: aws.String("b"), Key: aws.String("part/x")})
	require.NoError(t, err)
	_, err = c.GetObject(t.Context(), &s3.GetObjectInput{Bucket: aws.String("b"), Key: aws.String("part/x")})
	var noKey *types.NoSuchKey
	require.ErrorAs(t, err, &noKey)
	_, err = c.HeadObject(t.Context(), &s3.HeadObjectInput{Bucket: aws.String("b"), Key: aws.String("part/x")})
	var missing *types.NotFound
	require.ErrorAs(t, err, &missing)
	_, err = c.GetObject(t.Context(), &s3.GetObjectInput{Bucket: aws.String("none"), Key: aws.String("x")})
	var apiErr smithy.APIError
	require.ErrorAs(t, err, &apiErr)
	require.Equal(t, "NoSuchBucket", apiErr.ErrorCode())
	_, err = c.HeadBucket(t.Context(), &s3.HeadBucketInput{Bucket: aws.String("none")})
	require.ErrorAs(t, err, &missing)
	_, err = c.CreateBucket(t.Context(), &s3.CreateBucketInput{Bucket: aws.String("b")})
	var owned *types.BucketAlreadyOwnedByYou
	require.ErrorAs(t, err, &owned)
}

// TestChecksums guards against uploads that are stored despite a wrong
// checksum, and against checksum algorithms of the SDK that are rejected.
func TestChecksums(t *testing.T) {
	_, c, _ := startStore(t)
	for _, a := range []types.ChecksumAlgorithm{types.ChecksumAlgorithmCrc32, types.ChecksumAlgorithmCrc32c,
		types.ChecksumAlgorithmCrc64nvme, types.ChecksumAlgorithmSha1, types.ChecksumAlgorithmSha256} {
		_, err := c.PutObject(t.Context(), &s3.PutObjectInput{Bucket: aws.String("b"), Key: aws.String("k"),
			Body: strings.NewReader("body"), ChecksumAlgorithm: a})
		require.NoError(t, err, a)
		require.Equal(t, "body", getObject(t, c, "k", ""), a)
	}
	_, err := c.PutObject(t.Context(), &s3.PutObjectInput{Bucket: aws.String("b"), Key: aws.String("k"),
		Body: strings.NewReader("other"), ChecksumSHA256: aws.String("AAAA")})
	var apiErr smithy.APIError
	require.ErrorAs(t, err, &apiErr)
	require.Equal(t, "BadDigest", apiErr.ErrorCode())
	require.Equal(t, "body", getObject(t, c, "k", ""))
}

// TestChunkedUpload guards against storing the framing of aws-chunked uploads
// as part of the body, and against storing truncated uploads.
func TestChunkedUpload(t *testing.T) {
	_, c, url := startStore(t)
	send := func(body string) int {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url+"/b/k", bytes.NewReader([]byte(body)))
		require.NoError(t, err)
		r.Header.Set("Authorization", "AWS4-HMAC-SHA256 Credential=x")
		r.Header.Set("Content-Encoding", "aws-chunked")
		r.Header.Set("X-Amz-Content-Sha256", "STREAMING-UNSIGNED-PAYLOAD-TRAILER")
		r.Header.Set("X-Amz-Decoded-Content-Length", "11")
		r.Header.Set("X-Amz-Trailer", "x-amz-checksum-crc32")
		resp, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	require.Equal(t, http.StatusOK, send("6\r\nhello \r\n5;chunk-signature=00\r\nworld\r\n0\r\nx-amz-checksum-crc32:DUoRhQ==\r\n\r\n"))
	require.Equal(t, "hello world", getObject(t, c, "k", ""))
	require.Equal(t, http.StatusBadRequest, send("6\r\nhello \r\n5\r\nworld\r\n0\r\nx-amz-checksum-crc32:AAAAAA==\r\n\r\n"))
	require.Equal(t, http.StatusBadRequest, send("6\r\nhello \r\n0\r\n\r\n"))
	require.Equal(t, http.StatusBadRequest, send("6\r\nhel"))
	require.Equal(t, "hello world", getObject(t, c, "k", ""))
}

// TestConditionalPut guards against a second write with If-None-Match that
// replaces an existing object.
func TestConditionalPut(t *testing.T) {
	_, c, _ := startStore(t)
	in := &s3.PutObjectInput{Bucket: aws.String("b"), Key: aws.String("k"), Body: strings.NewReader("1"), IfNoneMatch: aws.String("*")}
	_, err := c.PutObject(t.Context(), in)
	require.NoError(t, err)
	in.Body = strings.NewReader("2")
	_, err = c.PutObject(t.Context(), in)
	var apiErr smithy.APIError
	require.ErrorAs(t, err, &apiErr)
	require.Equal(t, "PreconditionFailed", apiErr.ErrorCode())
}

// TestFaults guards against faults that drop a write instead of its response,
// and against outages that the SDK does not report as errors.
func TestFaults(t *testing.T) {
	s, c, _ := startStore(t)
	require.NoError(t, s.SetFaults(inject.Faults{LoseResponse: 1, RequestLimit: 1}))
	require.Error(t, putObject(t.Context(), c, "k", "body"))
	require.Equal(t, "body", getObject(t, c, "k", ""))
	for _, f := range []inject.Faults{{Outage: inject.OutageReset}, {Outage: inject.OutageError}, {Throttle: 1}} {
		require.NoError(t, s.SetFaults(f))
		require.Error(t, putObject(t.Context(), c, "k", "other"))
	}
	require.NoError(t, s.SetFaults(inject.Faults{}))
	require.Equal(t, "body", getObject(t, c, "k", ""))
	require.EqualValues(t, 4, s.Count("PutObject"))
	require.NoError(t, s.SetFaults(inject.Faults{Corrupt: 1, RequestLimit: 1}))
	require.Equal(t, "bodx", getObject(t, c, "k", ""))
	require.Equal(t, "body", getObject(t, c, "k", ""))
}
