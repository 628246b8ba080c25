package standin

import (
	"encoding/json"
	"net/http"
)

// Engine is a stand-in that tests steer and inspect.
type Engine interface {
	http.Handler
	SetFaults(Faults)
	SetLeaving(bool)
	Runs() map[string]int
	Held() int
}

// Counts is what a stand-in carried out.
type Counts struct {
	Runs   map[string]int `json:"runs"`             // by request ID
	Orders map[string]int `json:"orders,omitempty"` // by order body
	Held   int            `json:"held"`             // requests held at present
}

// Paths by which a test steers a stand-in in another process.
const (
	PathFaults  = "/standin/faults"  // PUT Faults
	PathLeaving = "/standin/leaving" // PUT true or false
	PathCounts  = "/standin/counts"  // GET Counts
)

// WithControl adds the paths by which a test in another process steers the engine.
func WithControl(e Engine) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", e)
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if decode(w, r, &faults) {
			e.SetFaults(faults)
		}
	})
	mux.HandleFunc("PUT "+PathLeaving, func(w http.ResponseWriter, r *http.Request) {
		var leaving bool
		if decode(w, r, &leaving) {
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

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}
