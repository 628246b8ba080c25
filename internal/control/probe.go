package control

import (
	"context"
	"fmt"
	"sync"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/link"
)

// maxNeighbours limits the number of neighbours that are probed at the same time.
const maxNeighbours = 16

// probeResult is the version that one instance returned, or the error.
type probeResult struct {
	from    string
	version configuration.Version
	err     error
}

// probe queries all instances concurrently and returns the results in the order of names.
func probe(names []string, query func(name string) (configuration.Version, error)) []probeResult {
	results := make([]probeResult, len(names))
	var group sync.WaitGroup
	for i, name := range names {
		group.Go(func() {
			version, err := query(name)
			results[i] = probeResult{from: name, version: version, err: err}
		})
	}
	group.Wait()
	return results
}

// highestVersion returns the first of the results with the highest version; ok is false when no instance
// replied.
func highestVersion(results []probeResult) (best probeResult, ok bool) {
	for _, result := range results {
		if result.err == nil && (!ok || result.version > best.version) {
			best = result
			ok = true
		}
	}
	return best, ok
}

// reportVersion reports to a replica which version is in force here, and returns the replica's newest
// version and whether the replica knows a leader.
func (c *Control) reportVersion(ctx context.Context, to string, body inForceReport) (inForceReply, error) {
	if to == c.options.Name {
		own := link.Sender{Name: c.options.Name, DataCentre: c.options.DataCentre}
		return c.receiveInForce(own, body)
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Timing.CallTimeout)
	defer cancel()
	var reply inForceReply
	if err := c.options.Caller.Call(ctx, to, KindInForce, body, &reply); err != nil {
		return inForceReply{}, fmt.Errorf("control: report to %q: %w", to, err)
	}
	return reply, nil
}

// fetch requests a newer version from another instance; with Probe only its number.
func (c *Control) fetch(ctx context.Context, from string, body fetchRequest) (fetchReply, error) {
	limit := c.options.Timing.FetchTimeout
	if body.Probe {
		limit = c.options.Timing.CallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var reply fetchReply
	if err := c.options.Caller.Call(ctx, from, KindFetch, body, &reply); err != nil {
		return fetchReply{}, fmt.Errorf("control: fetch from %q: %w", from, err)
	}
	return reply, nil
}
