package standin

import (
	"encoding/json"
	"net/http"
)

// Engine is a stand-in that tests control and inspect.
type Engine interface {
	http.Handler
	SetFaults(Faults)
	SetLeaving(bool)
	Runs() map[string]int
	Held() int
}

// Counts holds how often a stand-in ran requests, and how many it holds.
type Counts struct {
	Runs   map[string]int `json:"runs"`             // number of runs, by request ID
	Orders map[string]int `json:"orders,omitempty"` // number of runs, by order body
	Held   int            `json:"held"`             // number of requests that are held now
}

// Paths through which a test controls a stand-in in another process, with method and body.
const (
	PathFaults  = "/standin/faults"  // PUT Faults
	PathLeaving = "/standin/leaving" // PUT true or false
	PathCounts  = "/standin/counts"  // GET Counts
)

// WithControl adds the paths through which a test in another process controls the engine.
func WithControl(e Engine) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", e)
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if decodeJSON(w, r, &faults) {
			e.SetFaults(faults)
		}
	})
	mux.HandleFunc("PUT "+PathLeaving, func(w http.ResponseWriter, r *http.Request) {
		var leaving bool
		if decodeJSON(w, r, &leaving) {
			e.SetLeaving(leaving)
		}
	})
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) {
		counts := Counts{Runs: e.Runs(), Held: e.Held()}
		if plain, ok := e.(*Plain); ok {
			counts.Orders = plain.Orders()
		}
		writeJSON(w, http.StatusOK, counts)
	})
	return mux
}

func decodeJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(r.Body).Decode(target); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}
