package relay

import (
	"encoding/json"
	"net/http"
)

// Status is the JSON form of a relay, served at /control.
type Status struct {
	Plan
	Listen      string `json:"listen"`
	Target      string `json:"target"`
	Seed        uint64 `json:"seed"`
	Connections int64  `json:"connections"` // forwarded so far
	Datagrams   int64  `json:"datagrams"`   // received so far
	Lost        int64  `json:"lost"`        // datagrams dropped
}

// Status returns the faults and counters of r.
func (r *Relay) Status() Status {
	return Status{
		Plan:        r.Plan(),
		Listen:      r.addr,
		Target:      r.Target(),
		Seed:        r.cfg.Seed,
		Connections: r.connections.Load(),
		Datagrams:   r.datagrams.Load(),
		Lost:        r.lost.Load(),
	}
}

// Control returns a handler for the faults of r. GET returns the status of r.
// POST replaces its plan by the JSON body and returns the status.
func (r *Relay) Control() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPost {
			var p Plan
			d := json.NewDecoder(req.Body)
			d.DisallowUnknownFields()
			err := d.Decode(&p)
			if err == nil {
				err = r.SetPlan(p)
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(r.Status())
	})
}
