package scheduler_test

import (
	"fmt"
	"time"

	"github.com/primrosebeam/primrosebeam/scheduler"
)

// stepper is the system under test: a Scheduler or a variant that violates one rule.
type stepper interface {
	Step(now time.Time, e scheduler.Event) []scheduler.Action
	State(now time.Time) scheduler.State
}

type phase int

const (
	waiting phase = iota
	onEngine
	ended // rejected, finished, abandoned while waiting, or refused without a retry
)

// trackedRequest is the state of one request as derived from the events and actions.
type trackedRequest struct {
	request   scheduler.Request
	phase     phase
	engine    string
	sent      bool
	abandoned bool
	rejects   int
}

// checker tracks events and actions and returns the first violation of an invariant.
type checker struct {
	policy       scheduler.Policy
	requests     map[scheduler.RequestID]*trackedRequest
	leaving      map[string]bool   // engines whose current incarnation is leaving
	incarnations map[string]uint64 // latest incarnation of each engine
}

func newChecker(p scheduler.Policy) *checker {
	c := &checker{
		policy:       p,
		requests:     map[scheduler.RequestID]*trackedRequest{},
		leaving:      map[string]bool{},
		incarnations: map[string]uint64{},
	}
	return c
}

// step passes one event to d and checks the resulting actions and counts.
func (c *checker) step(d stepper, now time.Time, e scheduler.Event) error {
	c.beforeStep(e)
	actions := append([]scheduler.Action(nil), d.Step(now, e)...)
	for _, a := range actions {
		if err := c.checkAction(a); err != nil {
			return err
		}
	}
	c.afterStep(e)
	if err := c.checkCounts(d.State(now)); err != nil {
		return err
	}
	return c.checkWorkConserving(d.State(now))
}

func (c *checker) beforeStep(e scheduler.Event) {
	switch e := e.(type) {
	case scheduler.Arrive:
		c.requests[e.Request.ID] = &trackedRequest{request: e.Request}
	case scheduler.Abandon:
		if r := c.requests[e.ID]; r != nil && r.phase == waiting {
			r.phase = ended
		}
	case scheduler.BytesSent:
		c.sent(e.ID)
	case scheduler.FirstToken:
		c.sent(e.ID) // a response implies that bytes were sent
	case scheduler.Refused:
		c.refused(e.ID)
	case scheduler.Finish:
		if r := c.requests[e.ID]; r != nil {
			r.phase = ended
		}
	case scheduler.EngineState:
		if e.Incarnation > c.incarnations[e.Engine] {
			c.leaving[e.Engine] = false
			c.incarnations[e.Engine] = e.Incarnation
		}
		if e.Incarnation == c.incarnations[e.Engine] && e.Leaving {
			c.leaving[e.Engine] = true
		}
	}
}

func (c *checker) sent(id scheduler.RequestID) {
	if r := c.requests[id]; r != nil {
		r.sent = true
	}
}

func (c *checker) refused(id scheduler.RequestID) {
	r := c.requests[id]
	if r == nil || r.phase != onEngine {
		return
	}
	r.phase = waiting
	if r.abandoned || r.sent && !(r.request.Idempotent && r.request.Redispatch) {
		r.phase = ended
	}
}

func (c *checker) afterStep(e scheduler.Event) {
	if e, ok := e.(scheduler.Abandon); ok {
		if r := c.requests[e.ID]; r != nil {
			r.abandoned = true
		}
	}
}

func (c *checker) checkAction(a scheduler.Action) error {
	switch a := a.(type) {
	case scheduler.Dispatch:
		return c.dispatch(a)
	case scheduler.Reject:
		return c.reject(a)
	case scheduler.Cancel:
		if r := c.requests[a.ID]; r == nil || r.phase != onEngine || r.engine != a.Engine {
			return fmt.Errorf("cancel of %s, which is not on %s", a.ID, a.Engine)
		}
	}
	return nil
}

func (c *checker) dispatch(a scheduler.Dispatch) error {
	r := c.requests[a.ID]
	switch {
	case r == nil || r.phase != waiting:
		return fmt.Errorf("dispatch of %s, which does not wait", a.ID)
	case r.sent && !(r.request.Idempotent && r.request.Redispatch):
		return fmt.Errorf("second dispatch of %s after its first byte", a.ID)
	case c.leaving[a.Engine]:
		return fmt.Errorf("dispatch of %s to leaving engine %s", a.ID, a.Engine)
	}
	for _, e := range c.policy.Engines {
		if e.Name == a.Engine && e.Drained {
			return fmt.Errorf("dispatch of %s to drained engine %s", a.ID, a.Engine)
		}
	}
	r.phase = onEngine
	r.engine = a.Engine
	return nil
}

func (c *checker) reject(a scheduler.Reject) error {
	r := c.requests[a.ID]
	if r == nil || r.phase != waiting || r.rejects > 0 {
		return fmt.Errorf("reject of %s, which does not wait", a.ID)
	}
	r.phase = ended
	r.rejects++
	if a.Reason != scheduler.RejectShed && a.Reason != scheduler.RejectFloor {
		return nil
	}
	for id, other := range c.requests {
		if other.phase == waiting && other.request.Tier > r.request.Tier {
			return fmt.Errorf("%s of tier %d rejected for lack of room while %s of tier %d waits",
				a.ID, r.request.Tier, id, other.request.Tier)
		}
	}
	return nil
}

// checkCounts compares the counts of the scheduler with those of the checker.
func (c *checker) checkCounts(s scheduler.State) error {
	inFlight, queued := 0, 0
	for _, r := range c.requests {
		switch r.phase {
		case onEngine:
			inFlight++
		case waiting:
			queued++
		}
	}
	reported := 0
	for _, tier := range s.Tiers {
		reported += tier.Waiting
	}
	if inFlight != s.InFlight || queued != reported {
		return fmt.Errorf("%d in flight and %d waiting, but the scheduler counts %d and %d",
			inFlight, queued, s.InFlight, reported)
	}
	return nil
}

// checkWorkConserving checks that no request waits while an engine of its service has a free slot.
// Refused requests are not checked, since they may not be dispatched to every engine.
func (c *checker) checkWorkConserving(s scheduler.State) error {
	for _, sv := range s.Services {
		fresh := 0
		for _, f := range sv.Flows {
			fresh += f.Waiting
		}
		if fresh == 0 {
			continue
		}
		for _, e := range s.Engines {
			usable := !e.Leaving && !e.Drained && !e.Unreachable && !e.Ejected
			if usable && e.InFlight < e.Allowed && c.serves(sv.Name, e.Name) {
				return fmt.Errorf("%d requests wait for %s while %s has %d of %d", fresh, sv.Name, e.Name, e.InFlight, e.Allowed)
			}
		}
	}
	return nil
}

func (c *checker) serves(service, engine string) bool {
	for _, sv := range c.policy.Services {
		for _, e := range c.policy.Engines {
			if sv.Name == service && e.Name == engine && sv.Selector.Matches(e.Labels) {
				return true
			}
		}
	}
	return false
}
