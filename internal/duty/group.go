// Package duty runs the duties of a process, one goroutine each, and collects the first failure.
package duty

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Group runs duties under one context, which does not end with the context that it was made from: a
// process that stops decides itself when its duties end.
type Group struct {
	name     string
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
	failures chan error
}

// NewGroup returns an empty group; name starts the text of its errors.
func NewGroup(parent context.Context, name string) *Group {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	return &Group{name: name, ctx: ctx, cancel: cancel, failures: make(chan error, 1)}
}

// Start runs a duty until the group stops.
func (g *Group) Start(name string, run func(context.Context) error) {
	g.running.Go(func() {
		err := run(g.ctx)
		if err == nil || errors.Is(err, context.Canceled) {
			return
		}
		select {
		case g.failures <- fmt.Errorf("%s: %s: %w", g.name, name, err):
		default: // One failure is enough to stop.
		}
	})
}

// Loop calls step after each signal of ready, and at the latest after the pause that next returns, until
// ctx ends.
func Loop(ctx context.Context, ready <-chan struct{}, next func() time.Duration, step func()) error {
	timer := time.NewTimer(next())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ready:
		case <-timer.C:
		}
		step()
		timer.Reset(next())
	}
}

// Failures delivers the first failure.
func (g *Group) Failures() <-chan error { return g.failures }

// Stop ends the duties and waits for them.
func (g *Group) Stop() {
	g.cancel()
	g.running.Wait()
}
