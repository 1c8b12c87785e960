package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"

	"lavenderrill.dev/lavenderrill/platform/standin"
)

// Ports of each node. All nodes of a deployment use the same ones.
const (
	inboundPort   = 8300
	endpointPort  = 8301
	readyPort     = 8302
	outboundPort  = 8304
	controlPort   = 8306
	storePort     = 8309
	firstPeerPort = 7620
	lastPeerPort  = 7635
)

// Deployment is a small deployment with a store, nodes and endpoints.
type Deployment struct {
	Record *Record
	Store  *standin.Store

	dir       string // of settings and logs
	network   string // first three bytes of the addresses
	storeAddr string
	storeSrv  *http.Server
	nodes     []*Node
	endpoints []*Endpoint
}

// New starts the store of a deployment, which records to the file at recordPath.
func New(recordPath string) (*Deployment, error) {
	rec, err := NewRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Record: rec, Store: standin.NewStore(1), dir: dir}
	const attempts = 50
	for range attempts {
		d.network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
		d.storeAddr = fmt.Sprintf("%s.7:%d", d.network, storePort)
		var l net.Listener
		if l, err = net.Listen("tcp", d.storeAddr); err == nil {
			d.storeSrv = &http.Server{Handler: d.Store}
			go func() { _ = d.storeSrv.Serve(l) }() // returns after Close
			return d, nil
		}
	}
	return nil, errors.Join(err, os.RemoveAll(dir))
}

// Close ends all processes and stand-ins of d.
func (d *Deployment) Close() error {
	var errs []error
	for _, n := range d.nodes {
		n.Kill()
	}
	for _, e := range d.endpoints {
		e.Stop()
	}
	errs = append(errs, d.storeSrv.Close(), os.RemoveAll(d.dir), d.Record.Close())
	return errors.Join(errs...)
}

// Route is a route of the configuration.
type Route struct {
	Host, Prefix, Service string
	Type                  string // safe, unsafe or download
	TargetMS, TimeoutMS   int
	Attempts              int
	Priority              int
}

// Configure writes a configuration with the given version as the operator does.
func (d *Deployment) Configure(version int, services []string, routes []Route) error {
	type object = map[string]any
	byHost := make(map[string][]object)
	var hosts []string
	for i, r := range routes {
		if byHost[r.Host] == nil {
			hosts = append(hosts, r.Host)
		}
		byHost[r.Host] = append(byHost[r.Host], object{
			"name": fmt.Sprintf("r-%d", i), "route-type": r.Type, "target-latency-ms": r.TargetMS, "priority": r.Priority,
			"match":  object{"prefix": r.Prefix},
			"action": object{"service": r.Service, "timeout-ms": r.TimeoutMS, "attempts": r.Attempts},
		})
	}
	var listeners, clusters []object
	for _, h := range hosts {
		listeners = append(listeners, object{"host": h, "rules": byHost[h]})
	}
	for _, s := range services {
		clusters = append(clusters, object{"name": s, "health-path": healthPath, "max-connections": 120, "protocol": "h1", "tls": false})
	}
	b, err := json.Marshal(object{
		"version": fmt.Sprintf("%08x", version),
		"limits": object{
			"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"listeners": listeners, "clusters": clusters,
	})
	if err != nil {
		return err
	}
	d.Store.Put("op", "config", b)
	d.Record.Printf("operator: configuration %08x is acknowledged", version)
	return nil
}

func (d *Deployment) path(name string) string { return filepath.Join(d.dir, name) }
