package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/primrosebeam/primrosebeam/engine"
)

// tickInterval is the period at which shares of engines, reference speeds and ejections are updated.
// It is well below the exchange period of 500 ms, so that a new peer summary takes effect without a
// noticeable delay.
const tickInterval = 100 * time.Millisecond

// Options configures a Scheduler.
type Options struct {
	Rand     *rand.Rand // source of randomness; required
	Instance string     // name of this instance in Summary; PeerSummary events with this name are ignored
}

// Scheduler queues and dispatches the requests of one instance. It is not safe for concurrent use.
type Scheduler struct {
	rand         *rand.Rand
	instance     string
	policy       Policy
	workspaces   map[string]int // index into Policy.Workspaces
	services     map[string]*service
	ordered      []*service
	servers      map[string]*server
	members      []*server // servers of the current policy, in its order
	lifecycles   map[string]*engine.Lifecycle
	requests     map[RequestID]*entry
	free         []*entry
	dues         dueHeap
	floors       floors
	peers        map[string]*peer
	budgets      map[budgetKey]*budget
	prefixes     prefixTable
	waiting      []int // number of waiting requests by tier
	inFlight     int
	sequence     uint64
	lastTick     time.Time
	freedEngine  *server // engine on which an attempt ended in this step; nil if none
	firstService int     // rotating index of the service that dispatch serves first
	decisions    []Decision
	actions      []Action
	counters     Counters
}

// New returns a scheduler without a policy. It rejects every request until a Configure event.
func New(o Options) *Scheduler {
	return &Scheduler{
		rand:       o.Rand,
		instance:   o.Instance,
		workspaces: map[string]int{},
		services:   map[string]*service{},
		servers:    map[string]*server{},
		lifecycles: map[string]*engine.Lifecycle{},
		requests:   map[RequestID]*entry{},
		peers:      map[string]*peer{},
		budgets:    map[budgetKey]*budget{},
		floors:     newFloors(),
	}
}

// Step processes one event and returns the resulting actions. The slice is valid until the next call.
func (s *Scheduler) Step(now time.Time, e Event) []Action {
	s.actions = s.actions[:0]
	for _, d := range s.Decide(now, e) {
		s.actions = append(s.actions, d.Action())
	}
	return s.actions
}

// Decide is like Step but returns plain structs, which avoids an allocation per interface value. The
// slice is valid until the next call.
func (s *Scheduler) Decide(now time.Time, e Event) []Decision {
	s.decisions = s.decisions[:0]
	s.apply(now, e)
	if now.Sub(s.lastTick) >= tickInterval {
		s.tick(now)
	}
	s.expire(now)
	s.dispatch(now)
	s.fillReserve(now)
	return s.decisions
}

func (s *Scheduler) apply(now time.Time, e Event) {
	switch e := e.(type) {
	case Configure:
		s.configure(now, e.Policy)
	case Arrive:
		s.arrive(now, &e.Request)
	case Abandon:
		s.abandon(e.ID)
	case BytesSent:
		s.bytesSent(e.ID)
	case Refused:
		s.refused(now, e.ID)
	case FirstToken:
		s.firstToken(now, e.ID)
	case Progress:
		s.progress(now, e)
	case Finish:
		s.finish(now, e)
	case LoadReport:
		s.loadReport(now, e)
	case CacheEvents:
		s.cacheEvents(e)
	case EngineState:
		s.engineState(now, e)
	case PeerSummary:
		s.peerSummary(e)
	case PeerFloor:
		s.floors.set(now, e)
	}
}

// NextWake returns the latest time at which Step(now, Wake{}) must be called. ok is false when no
// request waits, so that no call is needed.
func (s *Scheduler) NextWake() (at time.Time, ok bool) {
	if !s.anyWaiting() {
		return time.Time{}, false
	}
	at = s.lastTick.Add(tickInterval)
	if len(s.dues) > 0 && s.dues[0].due.Before(at) {
		at = s.dues[0].due
	}
	return at, true
}

func (s *Scheduler) anyWaiting() bool {
	for _, n := range s.waiting {
		if n > 0 {
			return true
		}
	}
	return false
}

// tick updates the state that changes with time alone.
func (s *Scheduler) tick(now time.Time) {
	s.lastTick = now
	s.expirePeers(now)
	for _, sv := range s.ordered {
		sv.usable = sv.countUsable()
	}
	for _, m := range s.members {
		m.view.Health.ExpireEjection(now)
		s.refresh(now, m)
	}
	for _, sv := range s.ordered {
		sv.updateReference(now)
	}
}
