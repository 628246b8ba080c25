package e2e

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/primrosebeam/primrosebeam/internal/standin"
)

const lookupsInFlight = 12 // in total, on two engines

// TestLookupsDuringEngineCrash guards against a lookup that runs on a second engine although its route does not
// allow redispatch, and against one that is abandoned although its route allows it. The outcomes of both cases
// are logged.
func TestLookupsDuringEngineCrash(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		t.Run(fmt.Sprintf("redispatch=%t", allowed), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, clusterOptions{members: 1, plainEngines: 2, control: 1, redispatch: allowed})
			for _, e := range c.engines {
				e.put(standin.PathFaults, standin.Faults{Hold: standin.HoldFirst})
			}
			var lookups []<-chan sendResult
			for n := range lookupsInFlight {
				lookups = append(lookups, sendAsync(func() (callerResponse, error) {
					return send(c.members[0].callerAddress, http.MethodGet, fmt.Sprintf("/status/%d", n), smallToken, "", nil)
				}))
			}
			crashed, other := c.engines[0], c.engines[1]
			waitFor(t, "lookups at both engines", func() bool {
				return crashed.counts().Held+other.counts().Held == lookupsInFlight && crashed.counts().Held > 0
			})
			lost := crashed.counts().Held
			crashed.kill()
			other.put(standin.PathFaults, standin.Faults{})
			outcomes := map[string]int{}
			for _, lookup := range lookups {
				r := <-lookup
				if r.err != nil {
					t.Fatal(r.err)
				}
				outcomes[outcomeOf(r.response)]++
			}
			t.Logf("%d of %d lookups were on the crashed engine; outcomes: %v", lost, lookupsInFlight, outcomes)
			want := map[string]int{"answered": lookupsInFlight - lost, "undetermined": lost}
			if allowed {
				want = map[string]int{"answered": lookupsInFlight, "undetermined": 0}
			}
			for outcome, n := range want {
				if outcomes[outcome] != n {
					t.Errorf("%d lookups were %s, want %d", outcomes[outcome], outcome, n)
				}
			}
			for id, runs := range other.counts().Runs {
				if runs != 1 {
					t.Errorf("%s ran %d times on one engine", id, runs)
				}
			}
		})
	}
}
