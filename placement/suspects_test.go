package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	sharedPart PartID = 1
	otherPart  PartID = 2
	deadlyPart PartID = 3
)

// crashingPool is a Core with engines that end as soon as they begin to respond to a request with a deadly part.
type crashingPool struct {
	t      *testing.T
	core   *Core
	now    time.Duration
	deadly PartID
	number int // of requests so far
	starts int // of engines so far
	ended  int // engines that crashed
	ids    []string
}

func newCrashingPool(t *testing.T, engines int) *crashingPool {
	p := &crashingPool{t: t, core: New(), now: time.Second, deadly: deadlyPart}
	for range engines {
		p.starts++
		p.ids = append(p.ids, fmt.Sprint("engine-", p.starts))
	}
	p.publish()
	return p
}

func (p *crashingPool) publish() {
	var list []Engine
	for _, id := range p.ids {
		list = append(list, testEngine(id, 4))
	}
	p.core.SetEngines(list)
}

func (p *crashingPool) decide() ([]Grant, []Rejection) {
	p.now += time.Millisecond
	return p.core.Decide(p.now)
}

// arrive adds a request with the given parts.
func (p *crashingPool) arrive(parts ...PartID) RequestID {
	p.number++
	r := testRequestAt(p.now)
	r.ID, r.Parts = RequestID(fmt.Sprint("request-", p.number)), parts
	p.core.Enqueue(p.now, r)
	return r.ID
}

// run adds a request and lets it respond or crash its engine. It returns the reason of a rejection.
func (p *crashingPool) run(parts ...PartID) Reason {
	p.t.Helper()
	id := p.arrive(parts...)
	grants, rejections := p.decide()
	switch {
	case len(rejections) == 1 && rejections[0].Request == id:
		return rejections[0].Reason
	case len(grants) != 1 || grants[0].Request != id:
		p.t.Fatalf("grants %v, rejections %v", grants, rejections)
	}
	p.respond(grants[0])
	return ""
}

func (p *crashingPool) respond(g Grant) {
	p.now += 50 * time.Millisecond
	if r := p.core.requests[g.Request]; !containsAll(r.Parts, []PartID{p.deadly}) {
		p.core.FirstEvent(p.now, g.Request)
		p.core.End(p.now, g.Request, OutcomeCompleted, 10)
		return
	}
	p.crash(g)
}

// crash ends an engine. The next request that is sent there does not reach it, and it starts again under another
// ID.
func (p *crashingPool) crash(g Grant) {
	p.core.End(p.now, g.Request, OutcomeConnectionLost, 0)
	e := p.core.engines[g.Engine.ID]
	probe := testRequestAt(p.now)
	probe.ID = "unreached-" + g.Request
	p.core.AddRunning(probe, e.ID, p.now, 0)
	p.core.End(p.now, probe.ID, OutcomeUnreachable, 0)
	p.ended++
	for i, id := range p.ids {
		if id == g.Engine.ID {
			p.starts++
			p.ids[i] = fmt.Sprint("engine-", p.starts)
		}
	}
	p.publish()
}

func (p *crashingPool) blockedIDs() []PartID {
	var ids []PartID
	for _, b := range p.core.BlockedParts(p.now) {
		ids = append(ids, b.Part)
	}
	return ids
}

// Guards against a part of prompts that crashes one engine after the other, and against blocking the parts that
// sound requests share with it.
func TestPartThatCrashesEnginesIsBlocked(t *testing.T) {
	is := is.New(t)
	p := newCrashingPool(t, 6)
	for range blockAfter {
		is.Equal(p.run(sharedPart, deadlyPart), Reason(""))
		is.Equal(p.run(sharedPart, otherPart), Reason(""))
	}
	is.Equal(p.ended, blockAfter)
	is.Equal(p.blockedIDs(), []PartID{deadlyPart})
	is.Equal(p.run(sharedPart, deadlyPart), ReasonBlockedPart)
	is.Equal(p.run(sharedPart, otherPart), Reason(""))
	is.Equal(p.core.PartChanges(), []PartChange{{Service: "s", Part: deadlyPart, Blocked: true, Crashes: blockAfter}})
}

// Guards against many requests with a suspected part that crash an engine each before the first of them has shown
// that the part is at fault.
func TestSuspectedPartRunsOneAtATime(t *testing.T) {
	is := is.New(t)
	p := newCrashingPool(t, 6)
	for range trialAfter {
		p.run(deadlyPart)
	}
	for range 5 {
		p.arrive(deadlyPart)
	}
	sound := p.arrive(otherPart)
	grants, _ := p.decide()
	is.Equal(len(grants), 2)
	for _, g := range grants {
		if g.Request != sound {
			p.respond(g)
		}
	}
	_, rejections := p.decide()
	is.Equal(len(rejections), 4)
	for _, r := range rejections {
		is.Equal(r.Reason, ReasonBlockedPart)
	}
	is.Equal(p.ended, blockAfter)
}

// Guards against requests that wait for a trial at an engine that hangs.
func TestTrialAtSilentEngineIsNotAwaited(t *testing.T) {
	is := is.New(t)
	p := newCrashingPool(t, 6)
	for range trialAfter {
		p.run(deadlyPart)
	}
	p.arrive(deadlyPart)
	next := p.arrive(deadlyPart)
	grants, _ := p.decide()
	is.Equal(len(grants), 1)
	p.now += p.core.requests[grants[0].Request].firstEventLimit
	grants, _ = p.decide()
	is.Equal(len(grants), 1)
	is.Equal(grants[0].Request, next)
}

// Guards against blocking the parts of sound requests after a power cut or an update that ends many engines at the
// same time.
func TestCrashesAtTheSameTimeCountOnce(t *testing.T) {
	is := is.New(t)
	p := newCrashingPool(t, 6)
	for range 6 {
		p.arrive(sharedPart, otherPart)
	}
	grants, _ := p.decide()
	is.Equal(len(grants), 6)
	for _, g := range grants {
		p.crash(g)
	}
	is.Equal(len(p.blockedIDs()), 0)
	is.Equal(p.run(sharedPart, otherPart), Reason(""))
}

// Guards against blocking parts because of engines that reset single requests and go on.
func TestResetRequestsAreNoCrash(t *testing.T) {
	is := is.New(t)
	p := newCrashingPool(t, 1)
	for range 3 * blockAfter {
		reset := p.arrive(deadlyPart)
		p.decide()
		p.core.End(p.now, reset, OutcomeConnectionLost, 0)
		p.now += failurePause
		is.Equal(p.run(otherPart), Reason(""))
	}
	is.Equal(len(p.blockedIDs()), 0)
	is.Equal(len(p.core.Crashes()), 0)
}

// Guards against a crash that is not noticed because no further request is sent to the engine, or because several
// of its runs end with it.
func TestCrashIsNoticed(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(p *crashingPool, first, second RequestID)
	}{
		{"all connections are lost", func(p *crashingPool, first, second RequestID) {
			p.core.End(p.now, first, OutcomeConnectionLost, 0)
			p.core.End(p.now, second, OutcomeConnectionLost, 0)
		}},
		{"the next request does not reach it", func(p *crashingPool, first, second RequestID) {
			p.core.End(p.now, first, OutcomeConnectionLost, 0)
			p.core.End(p.now, second, OutcomeUnreachable, 0)
		}},
		{"it leaves the list without notice", func(p *crashingPool, first, second RequestID) {
			p.core.End(p.now, second, OutcomeCancelled, 0)
			p.core.End(p.now, first, OutcomeConnectionLost, 0)
			p.core.SetEngines(nil)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := newCrashingPool(t, 1)
			first, second := p.arrive(deadlyPart), p.arrive(deadlyPart)
			p.decide()
			test.end(p, first, second)
			is.Equal(len(p.core.Crashes()), 1)
			is.Equal(p.core.services["s"].suspects.parts[deadlyPart].crashes, 1)
		})
	}
}

// Guards against sound requests that stay blocked because their part was only ever seen beside the one at fault.
func TestPartsBlockedTogetherAreToldApart(t *testing.T) {
	for _, test := range []struct {
		name    string
		tried   PartID
		blocked []PartID
		crashes int
	}{
		{"by a response", otherPart, []PartID{deadlyPart}, blockAfter},
		{"by a crash", deadlyPart, []PartID{deadlyPart}, blockAfter + 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := newCrashingPool(t, 6)
			for range blockAfter {
				p.run(otherPart, deadlyPart)
			}
			is.Equal(len(p.blockedIDs()), 2)
			is.Equal(p.run(otherPart, deadlyPart), ReasonBlockedPart)
			is.Equal(p.run(test.tried), Reason(""))
			is.Equal(p.blockedIDs(), test.blocked)
			is.Equal(p.run(otherPart), Reason(""))
			is.Equal(p.run(deadlyPart), ReasonBlockedPart)
			is.Equal(p.ended, test.crashes)
		})
	}
}

// Guards against a part that stays blocked after the engines can bear it, and against one that is tried again and
// again while they cannot.
func TestBlockEndsWithSuccessfulTrial(t *testing.T) {
	is := is.New(t)
	p := newCrashingPool(t, 6)
	for range blockAfter {
		p.run(deadlyPart)
	}
	p.now += firstBlock
	is.Equal(p.run(deadlyPart), Reason(""))
	is.Equal(p.ended, blockAfter+1)
	p.now += firstBlock
	is.Equal(p.run(deadlyPart), ReasonBlockedPart) // the second block lasts twice as long
	p.now += firstBlock
	p.deadly = 0
	is.Equal(p.run(deadlyPart), Reason(""))
	is.Equal(len(p.blockedIDs()), 0)
	is.Equal(len(p.core.services["s"].suspects.parts), 0)
}

// Guards against a new allocator that lets every instance send requests with a blocked part again, and against one
// that keeps a part blocked which was released meanwhile.
func TestBlockedPartsAreTakenOver(t *testing.T) {
	is := is.New(t)
	p := newCrashingPool(t, 6)
	for range blockAfter {
		p.run(sharedPart, deadlyPart)
		p.run(sharedPart)
	}
	list := p.core.BlockedParts(p.now)
	next := newCrashingPool(t, 6)
	next.core.FollowBlockedParts(next.now, list)
	is.Equal(next.run(sharedPart, deadlyPart), ReasonBlockedPart)
	is.Equal(next.run(sharedPart), Reason(""))
	next.core.FollowBlockedParts(next.now, nil)
	is.Equal(len(next.blockedIDs()), 0)

	next.core.AdoptBlockedParts(next.now, list)
	is.Equal(next.blockedIDs(), []PartID{deadlyPart})
	next.core.services["s"].suspects.recordResponse(next.now, []PartID{deadlyPart})
	next.core.AdoptBlockedParts(next.now, list)
	is.Equal(len(next.blockedIDs()), 0)

	var entry BlockList
	entry.Set(p.now, list, nil)
	is.True(entry.BlockedFor(p.now, "s", []PartID{sharedPart, deadlyPart}) > firstBlock-time.Second)
	is.Equal(entry.BlockedFor(p.now, "other", []PartID{deadlyPart}), time.Duration(0))
	is.Equal(entry.BlockedFor(p.now, "s", []PartID{sharedPart}), time.Duration(0))
	is.Equal(entry.BlockedFor(p.now+firstBlock, "s", []PartID{deadlyPart}), time.Duration(0))
}

// Guards against memory that grows with the parts of a flood of crashes.
func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	var s suspects
	for i := range 2 * maxSuspects {
		now := time.Duration(i+1) * time.Microsecond
		s.recordCrash(now, "e", []lostRun{{parts: []PartID{PartID(i)}, grantedAt: now, lostAt: now}}, false)
	}
	is.Equal(len(s.parts), maxSuspects)
	is.True(s.parts[2*maxSuspects-1] != nil)
}
