package scheduler_test

import (
	"fmt"
	"time"

	"github.com/primrosebeam/primrosebeam/scheduler"
)

// decider is what the checker watches: a Scheduler or a variant with a broken rule.
type decider interface {
	Step(now time.Time, e scheduler.Event) []scheduler.Action
	State(now time.Time) scheduler.State
}

type phase int

const (
	waiting phase = iota
	onEngine
	ended // rejected, finished, abandoned while waiting, or refused for good
)

type followed struct {
	request   scheduler.Request
	phase     phase
	engine    string
	sent      bool
	abandoned bool
	rejects   int
}

// checker follows events and actions and returns the first violation of an invariant.
type checker struct {
	policy   scheduler.Policy
	requests map[scheduler.RequestID]*followed
	leaving  map[string]bool // the present incarnation leaves or is drained
	last     map[string]uint64
}

func newChecker(p scheduler.Policy) *checker {
	c := &checker{
		policy:   p,
		requests: map[scheduler.RequestID]*followed{},
		leaving:  map[string]bool{},
		last:     map[string]uint64{},
	}
	return c
}

// step feeds one event and checks the actions that it causes.
func (c *checker) step(d decider, now time.Time, e scheduler.Event) error {
	c.before(e)
	actions := append([]scheduler.Action(nil), d.Step(now, e)...)
	for _, a := range actions {
		if err := c.action(a); err != nil {
			return err
		}
	}
	c.after(e)
	if err := c.counts(d.State(now)); err != nil {
		return err
	}
	return c.conserving(d.State(now))
}

func (c *checker) before(e scheduler.Event) {
	switch e := e.(type) {
	case scheduler.Arrive:
		c.requests[e.Request.ID] = &followed{request: e.Request}
	case scheduler.Abandon:
		if f := c.requests[e.ID]; f != nil && f.phase == waiting {
			f.phase = ended
		}
	case scheduler.BytesSent:
		c.sent(e.ID)
	case scheduler.FirstToken:
		c.sent(e.ID) // an answer proves that bytes were sent
	case scheduler.Refused:
		c.refused(e.ID)
	case scheduler.Finish:
		if f := c.requests[e.ID]; f != nil {
			f.phase = ended
		}
	case scheduler.EngineState:
		if e.Incarnation > c.last[e.Engine] {
			c.leaving[e.Engine] = false
			c.last[e.Engine] = e.Incarnation
		}
		if e.Incarnation == c.last[e.Engine] && e.Leaving {
			c.leaving[e.Engine] = true
		}
	}
}

func (c *checker) sent(id scheduler.RequestID) {
	if f := c.requests[id]; f != nil {
		f.sent = true
	}
}

func (c *checker) refused(id scheduler.RequestID) {
	f := c.requests[id]
	if f == nil || f.phase != onEngine {
		return
	}
	f.phase = waiting
	if f.abandoned || f.sent && !(f.request.Idempotent && f.request.Redispatch) {
		f.phase = ended
	}
}

func (c *checker) after(e scheduler.Event) {
	if e, ok := e.(scheduler.Abandon); ok {
		if f := c.requests[e.ID]; f != nil {
			f.abandoned = true
		}
	}
}

func (c *checker) action(a scheduler.Action) error {
	switch a := a.(type) {
	case scheduler.Dispatch:
		return c.dispatch(a)
	case scheduler.Reject:
		return c.reject(a)
	case scheduler.Cancel:
		if f := c.requests[a.ID]; f == nil || f.phase != onEngine || f.engine != a.Engine {
			return fmt.Errorf("cancel of %s, which is not on %s", a.ID, a.Engine)
		}
	}
	return nil
}

func (c *checker) dispatch(a scheduler.Dispatch) error {
	f := c.requests[a.ID]
	switch {
	case f == nil || f.phase != waiting:
		return fmt.Errorf("dispatch of %s, which does not wait", a.ID)
	case f.sent && !(f.request.Idempotent && f.request.Redispatch):
		return fmt.Errorf("second dispatch of %s after its first byte", a.ID)
	case c.leaving[a.Engine]:
		return fmt.Errorf("dispatch of %s to leaving engine %s", a.ID, a.Engine)
	}
	for _, e := range c.policy.Engines {
		if e.Name == a.Engine && e.Drained {
			return fmt.Errorf("dispatch of %s to drained engine %s", a.ID, a.Engine)
		}
	}
	f.phase = onEngine
	f.engine = a.Engine
	return nil
}

func (c *checker) reject(a scheduler.Reject) error {
	f := c.requests[a.ID]
	if f == nil || f.phase != waiting || f.rejects > 0 {
		return fmt.Errorf("reject of %s, which does not wait", a.ID)
	}
	f.phase = ended
	f.rejects++
	if a.Reason != scheduler.RejectShed && a.Reason != scheduler.RejectFloor {
		return nil
	}
	for id, other := range c.requests {
		if other.phase == waiting && other.request.Tier > f.request.Tier {
			return fmt.Errorf("%s of tier %d rejected for lack of room while %s of tier %d waits",
				a.ID, f.request.Tier, id, other.request.Tier)
		}
	}
	return nil
}

// counts compares the scheduler's own counts with those of the checker.
func (c *checker) counts(s scheduler.State) error {
	inFlight, queued := 0, 0
	for _, f := range c.requests {
		switch f.phase {
		case onEngine:
			inFlight++
		case waiting:
			queued++
		}
	}
	stated := 0
	for _, tier := range s.Tiers {
		stated += tier.Waiting
	}
	if inFlight != s.InFlight || queued != stated {
		return fmt.Errorf("%d in flight and %d waiting, but the scheduler counts %d and %d",
			inFlight, queued, s.InFlight, stated)
	}
	return nil
}

// conserving checks that no request that any engine of the service may take waits while one has
// room. Refused requests, which may not go to every engine, are left out.
func (c *checker) conserving(s scheduler.State) error {
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
