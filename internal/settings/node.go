package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Environment variables that hold secrets.
const (
	KeyEnv       = "LAVENDERRILL_KEY"
	TokenEnv     = "LAVENDERRILL_TOKEN"
	AccessKeyEnv = "LAVENDERRILL_ACCESS_KEY"
	SecretKeyEnv = "LAVENDERRILL_SECRET_KEY"
)

// minSecretLength is the minimum length of the shared key and of the operator token.
const minSecretLength = 16

// Node holds the settings of one node.
type Node struct {
	ID   string
	Zone string

	Caller   string // listen address for callers
	Peer     string // listen address for other nodes, TCP and UDP
	Operator string // listen address for operators
	Backend  string // listen address for the backend server of this VM

	Advertise string   // peer address for other nodes; the listen address if empty
	Join      []string // peer addresses of nodes to join

	Table           string // name of the table
	Bucket          string // name of the bucket
	Region          string
	TableURL        string
	ObjectURL       string // URL of the object store
	PlatformTimeout time.Duration

	Drain     time.Duration // longest wait for requests in flight at a planned stop
	LogFormat string
	LogLevel  string

	Key       string // shared key of peer traffic
	Token     string // operator token
	AccessKey string // access key of the platform
	SecretKey string // secret key of the platform
}

// RegisterFlags registers a flag for each setting of n on cmd. Each flag also has an
// environment variable with the prefix LAVENDERRILL_.
func (n *Node) RegisterFlags(cmd *kingpin.CmdClause) {
	flag := func(name, help, def string) *kingpin.FlagClause {
		f := cmd.Flag(name, help).Envar(envName(name))
		if def != "" {
			f = f.Default(def)
		}
		return f
	}
	flag("id", "Node id; a random one if empty.", "").StringVar(&n.ID)
	flag("zone", "Availability zone of this VM.", "").StringVar(&n.Zone)
	flag("caller", "Listen address for callers.", "127.0.0.1:8080").StringVar(&n.Caller)
	flag("peer", "Listen address for other nodes, TCP and UDP.", "127.0.0.1:8081").StringVar(&n.Peer)
	flag("operator", "Listen address for operators.", "127.0.0.1:8082").StringVar(&n.Operator)
	flag("backend", "Listen address for the backend server of this VM.", "127.0.0.1:8083").StringVar(&n.Backend)
	flag("advertise", "Peer address told to other nodes; the listen address if empty.", "").StringVar(&n.Advertise)
	flag("join", "Peer address of a node to join; may be repeated.", "").StringsVar(&n.Join)
	flag("table", "Name of the platform's table.", "lavenderrill").StringVar(&n.Table)
	flag("bucket", "Name of the platform's bucket.", "lavenderrill").StringVar(&n.Bucket)
	flag("region", "Region name used to sign platform requests.", "local").StringVar(&n.Region)
	flag("table-url", "URL of the table service.", "").StringVar(&n.TableURL)
	flag("object-url", "URL of the object store.", "").StringVar(&n.ObjectURL)
	flag("platform-timeout", "Time-out of one platform request.", "2s").DurationVar(&n.PlatformTimeout)
	flag("drain", "Longest wait for requests in flight at a planned stop.", "30s").DurationVar(&n.Drain)
	flag("log-format", "Log format: json or console.", "json").StringVar(&n.LogFormat)
	flag("log-level", "Least level that is logged: debug, info, warn or error.", "info").StringVar(&n.LogLevel)
}

// ReadSecrets reads the secrets of n from environment variables with getenv.
func (n *Node) ReadSecrets(getenv func(string) string) {
	n.Key = getenv(KeyEnv)
	n.Token = getenv(TokenEnv)
	n.AccessKey = getenv(AccessKeyEnv)
	n.SecretKey = getenv(SecretKeyEnv)
}

// Check returns an error of kind fault.Settings that lists every invalid setting
// of n, or nil.
func (n *Node) Check() error {
	errs := []error{
		checkName("zone", n.Zone),
		checkAddr("caller", n.Caller),
		checkAddr("peer", n.Peer),
		checkAddr("operator", n.Operator),
		checkAddr("backend", n.Backend),
		checkURL("table-url", n.TableURL),
		checkURL("object-url", n.ObjectURL),
		checkNotEmpty("table", n.Table),
		checkNotEmpty("bucket", n.Bucket),
		checkNotEmpty("region", n.Region),
		checkPositive("platform-timeout", n.PlatformTimeout),
		checkPositive("drain", n.Drain),
		checkOneOf("log-format", n.LogFormat, "json", "console"),
		checkOneOf("log-level", n.LogLevel, "debug", "info", "warn", "error"),
		checkSecret(KeyEnv, n.Key),
		checkSecret(TokenEnv, n.Token),
		checkNotEmpty(AccessKeyEnv, n.AccessKey),
		checkNotEmpty(SecretKeyEnv, n.SecretKey),
	}
	if n.ID != "" {
		errs = append(errs, checkName("id", n.ID))
	}
	if n.Advertise != "" {
		errs = append(errs, checkAddr("advertise", n.Advertise))
	}
	for _, a := range n.Join {
		errs = append(errs, checkAddr("join", a))
	}
	if err := errors.Join(errs...); err != nil {
		return fault.Newf(fault.Settings, "%w", err)
	}
	return nil
}

func envName(flag string) string {
	return "LAVENDERRILL_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func checkName(field, s string) error {
	if err := mesh.CheckName(s); err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	return nil
}

func checkAddr(field, s string) error {
	host, port, ok := strings.Cut(s, ":")
	if strings.HasPrefix(s, "[") {
		host, port, ok = strings.Cut(s, "]:")
		host = strings.TrimPrefix(host, "[")
	}
	if !ok {
		return fmt.Errorf("%s: %q has no port", field, s)
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return fmt.Errorf("%s: host of %q is not an IP address", field, s)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%s: port of %q is not a number from 0 to 65535", field, s)
	}
	return nil
}

func checkURL(field, s string) error {
	if strings.HasPrefix(s, "http://") || strings.HasPrefix(s, "https://") {
		return nil
	}
	return fmt.Errorf("%s: %q is not an http or https URL", field, s)
}

func checkNotEmpty(field, s string) error {
	if s == "" {
		return fmt.Errorf("%s: must be set", field)
	}
	return nil
}

func checkPositive(field string, d time.Duration) error {
	if d <= 0 {
		return fmt.Errorf("%s: %v is not positive", field, d)
	}
	return nil
}

func checkOneOf(field, s string, allowed ...string) error {
	for _, a := range allowed {
		if s == a {
			return nil
		}
	}
	return fmt.Errorf("%s: %q is not one of %s", field, s, strings.Join(allowed, ", "))
}

// checkSecret does not include the secret in its error.
func checkSecret(field, s string) error {
	if len(s) < minSecretLength {
		return fmt.Errorf("%s: must be set to at least %d characters", field, minSecretLength)
	}
	return nil
}
