package e2e

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/entry"
)

// TestBatchFloodShedsNoHigherTier guards against an overload by requests of the lowest tier that sheds requests
// of a higher one, and against a shed request whose response lacks a Retry-After header.
func TestBatchFloodShedsNoHigherTier(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{members: 3, modelEngines: 1, control: 3, maxInFlight: 4, queueLimit: 8, eventInterval: 5 * time.Millisecond})
	ctx, stop := context.WithCancel(context.Background())
	var flood sync.WaitGroup
	var shed, answered atomic.Int64
	for n := range 60 {
		flood.Go(func() {
			for ctx.Err() == nil {
				response, err := send(c.members[n%3].callerAddress, http.MethodPost, "/v1/chat/completions", largeToken, chatBody(20, false),
					map[string]string{entry.HeaderLabels: "work=report"})
				switch {
				case err != nil:
					t.Error(err)
					return
				case response.status == http.StatusOK:
					answered.Add(1)
				case outcomeOf(response) != "not-run" || response.header.Get("Retry-After") == "":
					t.Errorf("status %d, outcome %q, Retry-After %q", response.status, outcomeOf(response), response.header.Get("Retry-After"))
				default:
					shed.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	waitFor(t, "shedding", func() bool { return shed.Load() > 50 })
	for n := range 30 {
		if err := checkChat(c.members[n%3].callerAddress, 5, n%2 == 0); err != nil {
			t.Errorf("request %d of the higher tier: %v", n, err)
		}
	}
	stop()
	flood.Wait()
	t.Logf("batch requests: %d answered, %d shed", answered.Load(), shed.Load())
}
