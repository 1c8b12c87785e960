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

// Limits of an experiment, which keep the machine usable.
const (
	maxProcesses = 300
	maxDuration  = 10 * time.Minute // total of all phases
	maxRate      = 20000.0          // total requests/s of one phase
)

const (
	defaultTimeout = 5 * time.Second
	defaultPoll    = 5 * time.Millisecond
)

// ReadFile reads and validates an experiment file.
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

// Parse decodes and validates an experiment. Every error begins with file.
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

// checker collects the validation errors of an experiment.
type checker struct {
	file string
	errs []error
}

func (c *checker) expect(ok bool, field, format string, args ...any) {
	if !ok {
		c.errs = append(c.errs, fmt.Errorf("%s: %s: %s", c.file, field, fmt.Sprintf(format, args...)))
	}
}

func (x *Experiment) check(c *checker) {
	x.Mesh.check(c)
	c.expect(x.Settle >= 0, "settle", "%v is negative", x.Settle)
	c.expect(len(x.Phases) > 0, "phases", "is empty")
	var total time.Duration
	for i := range x.Phases {
		p := &x.Phases[i]
		p.check(c, fmt.Sprintf("phases[%d]", i), &x.Mesh)
		total += p.WarmUp + p.Duration
	}
	c.expect(total <= maxDuration, "phases", "last %v in all, want at most %v", total, maxDuration)
}

func (m *Mesh) check(c *checker) {
	processes := 1 + m.Nodes
	if len(m.Services) > 0 {
		processes += m.Nodes
	}
	c.expect(m.Nodes > 0, "mesh.nodes", "%d is not positive", m.Nodes)
	c.expect(processes <= maxProcesses, "mesh.nodes", "needs %d processes, want at most %d", processes, maxProcesses)
	c.expect(len(m.Zones) > 0, "mesh.zones", "is empty")
	c.expect(m.Config != "", "mesh.config", "must be set")
	c.expect(m.Template != "", "mesh.template", "must be set")
	c.expect(m.Accounts > 0, "mesh.accounts", "%d is not positive", m.Accounts)
	c.expect(m.Slots >= 0 && m.Queue >= 0, "mesh", "slots and queue must not be negative")
	c.expect(m.Loss >= 0 && m.Loss < 1, "mesh.loss", "%v is not in the range [0, 1)", m.Loss)
	_, err := backend.ParseServiceTime(m.ServiceTime)
	c.expect(err == nil, "mesh.time", "%v", err)
}

func (p *Phase) check(c *checker, field string, m *Mesh) {
	c.expect(p.Name != "", field+".name", "must be set")
	c.expect(p.Duration > 0, field+".duration", "%v is not positive", p.Duration)
	c.expect(p.WarmUp >= 0, field+".warm", "%v is negative", p.WarmUp)
	if p.Via == "" {
		p.Via = ViaMesh
	}
	// Phases may share their streams through a YAML alias, but must not share the
	// defaults that are set below.
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
	c.expect(rate <= maxRate, field+".load", "offers %.0f requests/s, want at most %.0f", rate, maxRate)
	if e := p.Edits; e != nil {
		c.expect(e.Rate > 0, field+".edits.rate", "%v is not positive", e.Rate)
		if e.PollInterval == 0 {
			e.PollInterval = defaultPoll
		}
		c.expect(e.PollInterval > 0, field+".edits.poll", "%v is negative", e.PollInterval)
	}
	for i, e := range p.Events {
		e.check(c, fmt.Sprintf("%s.events[%d]", field, i))
	}
}

func (e *StreamSpec) check(c *checker, field string, m *Mesh) {
	c.expect(e.Rank != "", field+".rank", "must be set")
	c.expect(strings.HasPrefix(e.Path, "/"), field+".path", "%q does not begin with a slash", e.Path)
	c.expect((e.Rate > 0) != (e.CapacityFactor > 0), field, "want one of rate and times to be set and positive")
	c.expect(e.CapacityFactor == 0 || m.capacity() > 0, field+".times", "requires mesh.services, mesh.slots and mesh.time")
	switch e.Via {
	case ViaMesh:
	case ViaDirect, ViaRoundRobin:
		c.expect(len(m.Services) > 0, field+".via", "%s requires mesh.services", e.Via)
	default:
		c.expect(false, field+".via", "%q is not one of mesh, direct, round-robin", e.Via)
	}
	switch e.Arrivals {
	case "", "poisson", "constant":
		c.expect(e.Burst == 0, field+".burst", "requires arrivals: burst")
	case "burst":
		c.expect(e.Burst > 0, field+".burst", "%d is not positive", e.Burst)
	default:
		c.expect(false, field+".arrivals", "%q is not one of poisson, constant, burst", e.Arrivals)
	}
	c.expect(e.ResponseBytes >= 0 && e.RequestBytes >= 0 && e.Depth >= 0, field, "size, body and depth must not be negative")
	c.expect(e.Accounts >= 0 && e.Accounts <= m.Accounts, field+".accounts", "%d is not between 0 and mesh.accounts", e.Accounts)
	c.expect(e.Entries >= 0 && e.Entries <= m.Nodes, field+".entries", "%d is not between 0 and mesh.nodes", e.Entries)
	c.expect(e.Timeout >= 0, field+".timeout", "%v is negative", e.Timeout)
	if e.Entries == 0 {
		e.Entries = m.Nodes
	}
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
	c.expect(e.At >= 0 && e.Duration >= 0, field, "at and for must not be negative")
	switch e.Action {
	case actionReplace, actionRestart, actionServers:
		c.expect(e.Share > 0 && e.Share <= 1, field+".share", "%v is not in the range (0, 1]", e.Share)
		_, err := backend.ParseServiceTime(e.ServiceTime)
		c.expect(err == nil, field+".time", "%v", err)
		c.expect(e.Shed >= 0 && e.Shed <= 1, field+".shed", "%v is not in the range [0, 1]", e.Shed)
	case actionPlatform:
		switch e.Outage {
		case "reset", "error", "hang":
		default:
			c.expect(false, field+".outage", "%q is not one of reset, error, hang", e.Outage)
		}
	default:
		c.expect(false, field+".do", "%q is not one of replace, restart, platform, servers", e.Action)
	}
}

// rate returns the rate of e in requests/s.
func (e *StreamSpec) rate(m *Mesh) float64 {
	if e.CapacityFactor > 0 {
		return e.CapacityFactor * m.capacity()
	}
	return e.Rate
}
