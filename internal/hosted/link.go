package hosted

import "lavenderrill.dev/lavenderrill/internal/hop"

// registerLinkGauges registers the gauges of the bodies that are paced to the rate of the
// link: responses that leave the VM and requests that reach it.
func (n *Node) registerLinkGauges() {
	for name, value := range map[string]func(*hop.Pacer) any{
		"link_bodies": func(p *hop.Pacer) any { return p.Status().Bodies },
		"link_bytes":  func(p *hop.Pacer) any { return p.Status().Bytes },
		"link_wait":   func(p *hop.Pacer) any { return p.WaitSummary() },
	} {
		n.metrics.Gauge(name, func() any {
			return map[string]any{"responses": value(n.pacer), "requests": value(n.requestPacer)}
		})
	}
}
