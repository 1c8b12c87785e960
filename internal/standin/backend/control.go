package backend

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// Status is the JSON form of a server's state, served at /control.
type Status struct {
	State    State    `json:"state"`
	Behavior Behavior `json:"behavior"`
	Running  int64    `json:"running"`
	InFlight int64    `json:"in_flight"`
	Runs     int      `json:"runs"` // executions started
	Shed     int64    `json:"shed"`
}

// controlHandler serves /control and /journal. POST /control replaces the
// behavior; GET /journal?from=N lists the executions from position N on.
func (s *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /journal", func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.URL.Query().Get("from"))
		writeJSON(w, s.journal.list(from))
	})
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Status()) })
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		var b Behavior
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		err := d.Decode(&b)
		if err == nil {
			err = s.SetBehavior(b)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, s.Status())
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
