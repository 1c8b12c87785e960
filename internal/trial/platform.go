package trial

import (
	"context"

	"lavenderrill.dev/lavenderrill/internal/standin/inject"
)

// Platform is a running platform stand-in.
type Platform struct {
	*Process
	Table   string `json:"table"`
	Object  string `json:"object"`
	Control string `json:"control"`
}

func (m *Mesh) startPlatform(ctx context.Context) (*Platform, error) {
	var p Platform
	proc, err := m.startProgram(ctx, "platform", &p, m.bin.Standin, "platform")
	if err != nil {
		return nil, err
	}
	p.Process = proc
	return &p, nil
}

// SetFaults sets the faults of both services.
func (p *Platform) SetFaults(ctx context.Context, table, object inject.Faults) error {
	return p.SetServiceFaults(ctx, map[string]inject.Faults{"table": table, "object": object})
}

// SetServiceFaults sets faults by service name, which is "table" or "object".
func (p *Platform) SetServiceFaults(ctx context.Context, faults map[string]inject.Faults) error {
	return postJSON(ctx, "http://"+p.Control+"/control", faults)
}

// Status returns the faults and counters by service name.
func (p *Platform) Status(ctx context.Context) (map[string]inject.Status, error) {
	var st map[string]inject.Status
	return st, getJSON(ctx, "http://"+p.Control+"/control", &st)
}
