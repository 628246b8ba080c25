package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/primrosebeam/primrosebeam/engine"
)

// tickEvery is the period at which shares, references and ejections are brought up to date. It is
// well below the exchange period of 500 ms, so that a new summary takes effect at once.
const tickEvery = 100 * time.Millisecond

// Options configures a Scheduler.
type Options struct {
	Rand     *rand.Rand // source of randomness; required
	Instance string     // name of this instance in Summary; its own summaries are ignored
}

// Scheduler holds the waiting and dispatched requests of one instance. It is not safe for concurrent use.
type Scheduler struct {
	rand       *rand.Rand
	instance   string
	policy     Policy
	workspaces map[string]int // index into Policy.Workspaces
	services   map[string]*service
	ordered    []*service
	servers    map[string]*server
	members    []*server // servers of the policy in force
	lifecycles map[string]*engine.Lifecycle
	requests   map[RequestID]*entry
	free       []*entry
	dues       dueHeap
	floors     floors
	peers      map[string]*peer
	budgets    map[budgetKey]*budget
	prefixes   prefixTable
	waiting    []int // requests by tier
	inFlight   int
	sequence   uint64
	ticked     time.Time
	freed      *server // engine that a request has left in this step
	turn       int     // service that is served first, rotates
	decisions  []Decision
	actions    []Action
	counters   Counters
}

// New returns a scheduler without a policy; it rejects every request until Configure.
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

// Step consumes one event and returns the actions that it causes. The slice is valid until the next call.
func (s *Scheduler) Step(now time.Time, e Event) []Action {
	s.actions = s.actions[:0]
	for _, d := range s.Decide(now, e) {
		s.actions = append(s.actions, d.Action())
	}
	return s.actions
}

// Decide is Step without the allocation that a value in an interface costs. The slice is valid
// until the next call.
func (s *Scheduler) Decide(now time.Time, e Event) []Decision {
	s.decisions = s.decisions[:0]
	s.apply(now, e)
	if now.Sub(s.ticked) >= tickEvery {
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

// NextWake returns the time at which Step(now, Wake{}) is due at the latest; ok is false when
// there is none, since nothing waits.
func (s *Scheduler) NextWake() (at time.Time, ok bool) {
	if !s.anyWaiting() {
		return time.Time{}, false
	}
	at = s.ticked.Add(tickEvery)
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

// tick brings up to date what changes with time alone.
func (s *Scheduler) tick(now time.Time) {
	s.ticked = now
	s.forgetPeers(now)
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
