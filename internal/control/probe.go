package control

import (
	"context"
	"fmt"
	"sync"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/link"
)

// maxNeighbours bounds the neighbours that are asked at a time.
const maxNeighbours = 16

type probed struct {
	from    string
	version configuration.Version
	err     error
}

// probe asks all names at the same time and returns the answers in the order of names.
func probe(names []string, ask func(name string) (configuration.Version, error)) []probed {
	answers := make([]probed, len(names))
	var asked sync.WaitGroup
	for i, name := range names {
		asked.Go(func() {
			version, err := ask(name)
			answers[i] = probed{from: name, version: version, err: err}
		})
	}
	asked.Wait()
	return answers
}

// highest returns the first of the answers with the highest version; ok is false when nobody answered.
func highest(answers []probed) (best probed, ok bool) {
	for _, answer := range answers {
		if answer.err == nil && (!ok || answer.version > best.version) {
			best = answer
			ok = true
		}
	}
	return best, ok
}

// report tells a replica which version is in force here and returns what the replica has.
func (c *Control) report(ctx context.Context, to string, body inForceReport) (inForceReply, error) {
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
