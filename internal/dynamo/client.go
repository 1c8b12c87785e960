package dynamo

import (
	"cmp"
	"net"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"golang.org/x/time/rate"

	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Config configures a Client. Table, Bucket, the URLs and the keys must be set;
// other zero fields take the defaults given here.
type Config struct {
	Table     string // name of the table
	Bucket    string // name of the bucket
	Region    string // region used to sign requests; "local"
	TableURL  string // URL of the table service
	ObjectURL string // URL of the object store
	AccessKey string
	SecretKey string

	Timeout time.Duration // of one request; 2 s

	Reads         rate.Limit // table reads per second; 4
	Writes        rate.Limit // table writes per second, one transaction counting as one; 2
	Burst         int        // burst of Reads, of Writes and of ClaimWrites; 10
	ClaimWrites   rate.Limit // claim rows written and deleted per second; 2, see SetClaimRate
	DocumentReads rate.Limit // reads of document rows per second, for accepts; 50
	Polls         rate.Limit // reads of the head by the reader role per second; 2
	ObjectReads   rate.Limit // object reads per second; 100
	ObjectWrites  rate.Limit // object writes per second; 8
	ObjectBurst   int        // burst of ObjectReads and of ObjectWrites; 200

	Metrics   *metric.Registry  // a new registry if nil
	Transport http.RoundTripper // for tests; a transport without proxy if nil
	Now       func() time.Time  // time.Now if nil
}

const (
	defaultTimeout       = 2 * time.Second
	defaultReads         = 4
	defaultWrites        = 2
	defaultClaimWrites   = 2
	defaultDocumentReads = 50
	defaultBurst         = 10
	defaultPolls         = 2
	defaultObjectReads   = 100
	defaultObjectWrites  = 8
	defaultObjectBurst   = 200
	dialTimeout          = time.Second
	maxIdleConnsPerHost  = 16
	idleTimeout          = 90 * time.Second
	cachedManifests      = 4
)

// Client is a client of the table and of the object store. It is safe for
// concurrent use.
type Client struct {
	table     *dynamodb.Client
	objects   *s3.Client
	names     resourceNames
	timeout   time.Duration
	budgets   budgets
	metrics   *metric.Registry
	now       func() time.Time
	commitSem chan struct{} // holds one element while a commit runs
	manifests *fifoCache[mesh.Digest, config.Manifest]
}

type resourceNames struct{ table, bucket string }

type budgets struct{ reads, writes, claimWrites, documentReads, polls, objectReads, objectWrites *rate.Limiter }

// New returns a client for c. It makes no request and reads no environment
// variable, file or instance metadata.
func New(c Config) *Client {
	timeout := cmp.Or(c.Timeout, defaultTimeout)
	transport := c.Transport
	if transport == nil {
		transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: min(dialTimeout, timeout)}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			IdleConnTimeout:     idleTimeout,
		}
	}
	client := &http.Client{Transport: transport}
	keys := credentials.NewStaticCredentialsProvider(c.AccessKey, c.SecretKey, "")
	region := cmp.Or(c.Region, "local")
	burst := cmp.Or(c.Burst, defaultBurst)
	objectBurst := cmp.Or(c.ObjectBurst, defaultObjectBurst)
	p := &Client{
		table: dynamodb.New(dynamodb.Options{
			BaseEndpoint: aws.String(c.TableURL), Region: region, Credentials: keys,
			HTTPClient: client, Retryer: aws.NopRetryer{},
		}),
		objects: s3.New(s3.Options{
			BaseEndpoint: aws.String(c.ObjectURL), Region: region, Credentials: keys,
			HTTPClient: client, Retryer: aws.NopRetryer{}, UsePathStyle: true,
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		}),
		names:   resourceNames{c.Table, c.Bucket},
		timeout: timeout,
		budgets: budgets{
			reads:         rate.NewLimiter(cmp.Or(c.Reads, defaultReads), burst),
			writes:        rate.NewLimiter(cmp.Or(c.Writes, defaultWrites), burst),
			claimWrites:   rate.NewLimiter(cmp.Or(c.ClaimWrites, defaultClaimWrites), burst),
			documentReads: rate.NewLimiter(cmp.Or(c.DocumentReads, defaultDocumentReads), MaxEdits),
			polls:         rate.NewLimiter(cmp.Or(c.Polls, defaultPolls), burst),
			objectReads:   rate.NewLimiter(cmp.Or(c.ObjectReads, defaultObjectReads), objectBurst),
			objectWrites:  rate.NewLimiter(cmp.Or(c.ObjectWrites, defaultObjectWrites), objectBurst),
		},
		metrics:   c.Metrics,
		now:       c.Now,
		commitSem: make(chan struct{}, 1),
		manifests: newFIFOCache[mesh.Digest, config.Manifest](cachedManifests),
	}
	if p.metrics == nil {
		p.metrics = metric.New()
	}
	if p.now == nil {
		p.now = time.Now
	}
	return p
}

// SetClaimRate sets the claim row budget to n per second, with a burst of one
// second. The gates of a fleet share the platform's write rate for claims, so the
// share of one gate depends on the number of gates.
func (c *Client) SetClaimRate(n rate.Limit) {
	c.budgets.claimWrites.SetLimit(n)
	c.budgets.claimWrites.SetBurst(max(1, int(n)))
}
