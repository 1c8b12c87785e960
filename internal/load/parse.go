package load

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"lavenderrill.dev/lavenderrill/internal/standin/backend"
)

// Bounds of an experiment, which keep the machine usable.
const (
	maxProcesses = 300
	maxLength    = 10 * time.Minute // of all phases
	maxRate      = 20000.0          // requests/s of one phase
)

const (
	defaultTimeout = 5 * time.Second
	defaultPoll    = 5 * time.Millisecond
)

// ReadFile reads and checks an experiment.
func ReadFile(path string) (Experiment, error) {
	f, err := os.Open(path)
	if err != nil {
		return Experiment{}, err
	}
	defer func() { _ = f.Close() }()
	x, err := Parse(path, f)
	if err != nil {
		return Experiment{}, err
	}
	x.dir = filepath.Dir(path)
	return x, nil
}

// Parse reads and checks an experiment. Every error names file.
func Parse(file string, r io.Reader) (Experiment, error) {
	x := Experiment{Seed: 1}
	d := yaml.NewDecoder(r)
	d.KnownFields(true)
	if err := d.Decode(&x); err != nil {
		return Experiment{}, fmt.Errorf("%s: %s", file, strings.TrimPrefix(err.Error(), "yaml: "))
	}
	if err := d.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return Experiment{}, fmt.Errorf("%s: holds more than one document", file)
	}
	x.Name = strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	c := &checker{file: file}
	x.check(c)
	return x, errors.Join(c.errs...)
}

// checker collects faults of an experiment.
type checker struct {
	file string
	errs []error
}

func (c *checker) want(ok bool, field, format string, args ...any) {
	if !ok {
		c.errs = append(c.errs, fmt.Errorf("%s: %s: %s", c.file, field, fmt.Sprintf(format, args...)))
	}
}

func (x *Experiment) check(c *checker) {
	x.Mesh.check(c)
	c.want(x.Settle >= 0, "settle", "%v is negative", x.Settle)
	c.want(len(x.Phases) > 0, "phases", "is empty")
	var length time.Duration
	for i := range x.Phases {
		p := &x.Phases[i]
		p.check(c, fmt.Sprintf("phases[%d]", i), &x.Mesh)
		length += p.WarmUp + p.Duration
	}
	c.want(length <= maxLength, "phases", "last %v in all, want at most %v", length, maxLength)
}

func (m *Mesh) check(c *checker) {
	processes := 1 + m.Nodes
	if len(m.Services) > 0 {
		processes += m.Nodes
	}
	c.want(m.Nodes > 0, "mesh.nodes", "%d is not positive", m.Nodes)
	c.want(processes <= maxProcesses, "mesh.nodes", "needs %d processes, want at most %d", processes, maxProcesses)
	c.want(len(m.Zones) > 0, "mesh.zones", "is empty")
	c.want(m.Config != "", "mesh.config", "must be set")
	c.want(m.Template != "", "mesh.template", "must be set")
	c.want(m.Accounts > 0, "mesh.accounts", "%d is not positive", m.Accounts)
	c.want(m.Slots >= 0 && m.Queue >= 0, "mesh", "slots and queue must not be negative")
	c.want(m.Loss >= 0 && m.Loss < 1, "mesh.loss", "%v is not a share below 1", m.Loss)
	_, err := backend.ParseTime(m.ServiceTime)
	c.want(err == nil, "mesh.time", "%v", err)
}

func (p *Phase) check(c *checker, field string, m *Mesh) {
	c.want(p.Name != "", field+".name", "must be set")
	c.want(p.Duration > 0, field+".duration", "%v is not positive", p.Duration)
	c.want(p.WarmUp >= 0, field+".warm", "%v is negative", p.WarmUp)
	if p.Via == "" {
		p.Via = ViaMesh
	}
	// Phases that share their entries through a YAML alias must not share the
	// defaults that are filled in.
	p.Load = slices.Clone(p.Load)
	rate := 0.0
	for i := range p.Load {
		e := &p.Load[i]
		if e.Via == "" {
			e.Via = p.Via
		}
		e.check(c, fmt.Sprintf("%s.load[%d]", field, i), m)
		rate += e.rate(m)
	}
	c.want(rate <= maxRate, field+".load", "offers %.0f requests/s, want at most %.0f", rate, maxRate)
	if e := p.Edits; e != nil {
		c.want(e.Rate > 0, field+".edits.rate", "%v is not positive", e.Rate)
		if e.PollInterval == 0 {
			e.PollInterval = defaultPoll
		}
		c.want(e.PollInterval > 0, field+".edits.poll", "%v is negative", e.PollInterval)
	}
	for i, e := range p.Events {
		e.check(c, fmt.Sprintf("%s.events[%d]", field, i))
	}
}

func (e *StreamSpec) check(c *checker, field string, m *Mesh) {
	c.want(e.Rank != "", field+".rank", "must be set")
	c.want(strings.HasPrefix(e.Path, "/"), field+".path", "%q does not begin with a slash", e.Path)
	c.want((e.Rate > 0) != (e.CapacityFactor > 0), field, "want one of rate and times, above 0")
	c.want(e.CapacityFactor == 0 || m.capacity() > 0, field+".times", "needs mesh.services, mesh.slots and mesh.time")
	switch e.Via {
	case ViaMesh:
	case ViaDirect, ViaRoundRobin:
		c.want(len(m.Services) > 0, field+".via", "%s needs mesh.services", e.Via)
	default:
		c.want(false, field+".via", "%q is not one of mesh, direct, round-robin", e.Via)
	}
	switch e.Arrivals {
	case "", "poisson", "constant":
		c.want(e.Burst == 0, field+".burst", "needs arrivals: burst")
	case "burst":
		c.want(e.Burst > 0, field+".burst", "%d is not positive", e.Burst)
	default:
		c.want(false, field+".arrivals", "%q is not one of poisson, constant, burst", e.Arrivals)
	}
	c.want(e.ResponseBytes >= 0 && e.RequestBytes >= 0 && e.Depth >= 0, field, "size, body and depth must not be negative")
	c.want(e.Accounts >= 0 && e.Accounts <= m.Accounts, field+".accounts", "%d is not between 0 and mesh.accounts", e.Accounts)
	c.want(e.Timeout >= 0, field+".timeout", "%v is negative", e.Timeout)
	if e.Accounts == 0 {
		e.Accounts = m.Accounts
	}
	if e.Method == "" {
		e.Method = "GET"
	}
	if e.Timeout == 0 {
		e.Timeout = defaultTimeout
	}
}

func (e Event) check(c *checker, field string) {
	c.want(e.At >= 0 && e.Duration >= 0, field, "at and for must not be negative")
	switch e.Action {
	case doReplace, doRestart, doServers:
		c.want(e.Share > 0 && e.Share <= 1, field+".share", "%v is not a share above 0", e.Share)
		_, err := backend.ParseTime(e.ServiceTime)
		c.want(err == nil, field+".time", "%v", err)
		c.want(e.Shed >= 0 && e.Shed <= 1, field+".shed", "%v is not a share", e.Shed)
	case doPlatform:
		switch e.Outage {
		case "reset", "error", "hang":
		default:
			c.want(false, field+".outage", "%q is not one of reset, error, hang", e.Outage)
		}
	default:
		c.want(false, field+".do", "%q is not one of replace, restart, platform, servers", e.Action)
	}
}

// rate returns the requests/s of e.
func (e *StreamSpec) rate(m *Mesh) float64 {
	if e.CapacityFactor > 0 {
		return e.CapacityFactor * m.capacity()
	}
	return e.Rate
}
