package placement

import (
	"math"
	"slices"
	"time"

	"github.com/primrosebeam/primrosebeam/fairshare"
)

const (
	// shareBound is how far the order by value may bring a workspace ahead of its fair share, in time of that share.
	// The callers of the users' routes leave after 2.4 s without a first event, or later: the order by value may delay
	// the requests of other workspaces, but leaves time for their prompts before their callers leave.
	shareBound = 2 * time.Second
	// burstShare is the part of its fair share by which a workspace may exceed it within arrivalWindow without being
	// beyond it, since the bound allows that much.
	burstShare = float64(shareBound) / float64(arrivalWindow)
	// levelPeriod is the interval at which the fair level is computed again.
	levelPeriod = arrivalWindow / 20
	// minShareWeight and maxShareWeight bound the weight of a workspace relative to the mean, so that a tiny quota
	// does not make a single request last for minutes of its share.
	minShareWeight = 0.01
	maxShareWeight = 100
	// minShareSlots bounds the slots that a workspace is expected to use, so that no wait is infinite.
	minShareSlots = 0.05
	// maxShares is the number of workspaces of a service from which those without recent requests are forgotten.
	maxShares = 1000
	// shareNoticePeriod is the interval at which a workspace beyond its share is reported again.
	shareNoticePeriod = 5 * time.Second
)

// shares divides the engine time of a service between workspaces.
//
// Invariant: each waiting request belongs to a share in list.
type shares struct {
	set         fairshare.Set
	byWorkspace map[string]*share
	list        []*share // of byWorkspace
	rebuild     bool     // the runs were granted by another core and are not charged yet

	// Computed at intervals of levelPeriod.
	levelAt time.Duration
	level   float64 // fair number of slots per unit of weight; infinite while the demand is below the capacity
	unused  float64 // slots that nobody asks for
	bound   float64 // shareBound as a difference of tags
	demands []fairshare.Demand

	forgetAt time.Duration // time from which idle workspaces are forgotten again
	// passedOver counts the grants for which a more valuable request of a workspace ahead of its share was passed over.
	passedOver uint64
	notices    []ShareNotice
}

// ShareNotice reports a workspace that asks for more than its fair share of a service while room is short.
type ShareNotice struct {
	Service   string
	Workspace string
	Demand    float64 // slots that its requests of the last two seconds would keep busy
	Share     float64 // slots
}

// share is the share of a workspace in a service. Its costs are in seconds of slot time.
type share struct {
	fairshare.Flow
	workspace string
	recent    arrivals      // requests of the workspace, also those that were refused
	ahead     time.Duration // work ahead of the request whose wait is being estimated
	demand    float64       // slots that recent requests would keep busy, as of shares.levelAt
	noticedAt time.Duration // last notice that the workspace is beyond its share
}

func newShares() *shares {
	return &shares{byWorkspace: map[string]*share{}, level: math.Inf(1), levelAt: -levelPeriod, rebuild: true}
}

// divides reports whether there is more than one workspace to divide engine time between.
func (sh *shares) divides() bool { return sh != nil && len(sh.list) > 1 }

// PassedOver returns for how many grants a more valuable request was passed over because its workspace is ahead of its
// share.
func (c *Core) PassedOver() uint64 {
	total := uint64(0)
	for _, s := range c.services {
		if s.shares != nil {
			total += s.shares.passedOver
		}
	}
	return total
}

// ShareNotices returns which workspaces were found beyond their shares since the last call.
func (c *Core) ShareNotices() []ShareNotice {
	var notices []ShareNotice
	for _, s := range c.services {
		if s.shares != nil {
			notices = append(notices, s.shares.notices...)
			s.shares.notices = nil
		}
	}
	return notices
}

// RestartShares forgets what was charged, because another core may have granted slots meanwhile. The next decision takes
// what runs on the engines as what each workspace got lately.
func (c *Core) RestartShares() {
	for _, s := range c.services {
		if s.shares == nil {
			continue
		}
		s.shares.rebuild = true
		for _, f := range s.shares.list {
			f.recent = arrivals{}
		}
	}
}

// join assigns a request to the share of its workspace.
func (c *Core) join(s *service, r *trackedRequest) {
	if s.shares == nil {
		return
	}
	f := s.shares.byWorkspace[r.Workspace]
	if f == nil {
		f = &share{workspace: r.Workspace}
		f.SetWeight(c.shareWeight(r.Workspace))
		s.shares.byWorkspace[r.Workspace] = f
		s.shares.list = append(s.shares.list, f)
	}
	r.share = f
}

// shareWeight returns the rate of a workspace's quota relative to the mean of all quotas, 1 if it has none.
func (c *Core) shareWeight(workspace string) float64 {
	q := c.quotas[workspace]
	if q == nil {
		return 1
	}
	sum := 0.0
	for _, other := range c.quotas {
		sum += other.Rate
	}
	return min(max(q.Rate*float64(len(c.quotas))/sum, minShareWeight), maxShareWeight)
}

// updateShareWeights makes the weights follow the quotas.
func (c *Core) updateShareWeights() {
	for _, s := range c.services {
		if s.shares == nil {
			continue
		}
		for _, f := range s.shares.list {
			f.SetWeight(c.shareWeight(f.workspace))
		}
	}
}

// arrive records the demand of a new request.
func (f *share) arrive(now time.Duration, density float64, work time.Duration) {
	if f != nil {
		f.recent.add(now, density, work)
	}
}

// selectInShares is selectNext with fair shares: it passes over the requests of workspaces that are ahead of the one
// furthest behind by more than the bound. The continuation of a response that is partly delivered is not passed over.
func (c *Core) selectInShares(now time.Duration, s *service, free []*engine) (*trackedRequest, *engine) {
	sh := s.shares
	limit := math.Inf(1)
	if least := c.leastStart(now, s, free); !math.IsInf(least, 1) {
		sh.set.Advance(least)
		limit = sh.set.VirtualTime() + sh.bound
	}
	isAhead := func(r *trackedRequest) bool { return sh.set.Start(&r.share.Flow) > limit && !r.PartlyDelivered }
	best, e := c.mostValuable(now, s, free, func(r *trackedRequest) bool { return !isAhead(r) })
	if best == nil {
		return nil, nil
	}
	for _, r := range s.waiting {
		if r.currentDensity(now) > best.currentDensity(now) && isAhead(r) {
			sh.passedOver++
			break
		}
	}
	return best, e
}

// leastStart returns the least start among the workspaces with a request that a free engine can serve before its caller
// leaves, infinite if there is none. A request that waits for a better engine takes no slot now and keeps none from others.
func (c *Core) leastStart(now time.Duration, s *service, free []*engine) float64 {
	least := math.Inf(1)
	for _, r := range s.waiting {
		start := s.shares.set.Start(&r.share.Flow)
		if start >= least || s.suspects.mustWait(now, r.Parts) {
			continue
		}
		e, value := c.bestEngine(now, r, free)
		if e == nil || value <= missedDeadlineValue || c.features.BestFit && c.shouldHold(now, s, r, e, value) {
			continue
		}
		least = start
	}
	return least
}

// charge charges the workspace of a request for a slot.
func (c *Core) charge(s *service, r *trackedRequest) {
	if r.share != nil {
		r.charged = c.latency.slotTime(r, s.slots()).Seconds()
		s.shares.set.Charge(&r.share.Flow, r.charged)
	}
}

// settle replaces what a run was charged by what it took: nothing if it did not run, what its output took if it is
// complete, and otherwise no more than the time that passed.
func (c *Core) settle(now time.Duration, r *trackedRequest, outcome Outcome, tokens int) {
	if r.share == nil || r.charged == 0 {
		return
	}
	slots := c.service(r.Service).slots()
	took := r.charged
	switch {
	case outcome.IsRefunded():
		took = 0
	case outcome == OutcomeCompleted && tokens > 0:
		r.outputTokens = float64(tokens)
		took = c.latency.slotTime(r, slots).Seconds()
	case outcome != OutcomeCompleted:
		r.outputTokens = 0
		took = min(took, (c.latency.slotTime(r, slots) + now - r.grantedAt).Seconds())
	}
	r.share.Correct(took - r.charged)
	r.charged = 0
}

// prepareShares brings the shares of a service up to date before slots are granted.
func (c *Core) prepareShares(now time.Duration, s *service) {
	if s.shares == nil {
		return
	}
	if s.shares.rebuild {
		c.rebuildShares(now, s)
	}
	if s.shares.levelIsDue(now) {
		s.shares.updateLevel(now, s, c.slotCapacity(now, s))
	}
	if len(s.shares.list) > maxShares && now >= s.shares.forgetAt {
		s.shares.forgetIdle(now, s.waiting)
	}
}

// rebuildShares charges what runs on the engines of a service after another core granted it.
func (c *Core) rebuildShares(now time.Duration, s *service) {
	sh := s.shares
	sh.rebuild, sh.set, sh.levelAt = false, fairshare.Set{}, now-levelPeriod
	for _, f := range sh.list {
		f.Flow = fairshare.Flow{}
		f.SetWeight(c.shareWeight(f.workspace))
	}
	for _, list := range [][]*engine{s.engines, s.restricted} {
		for _, e := range list {
			c.chargeRuns(now, s, e)
		}
	}
}

func (c *Core) chargeRuns(now time.Duration, s *service, e *engine) {
	for _, r := range e.runs {
		c.join(s, r)
		c.charge(s, r)
		if now-r.grantedAt <= arrivalWindow {
			r.share.arrive(now, r.valueDensity, c.latency.slotTime(r, s.slots()))
		}
	}
}

func (sh *shares) levelIsDue(now time.Duration) bool { return now-sh.levelAt >= levelPeriod }

// updateLevel computes the fair level from the demand of all workspaces, at intervals of levelPeriod.
func (sh *shares) updateLevel(now time.Duration, s *service, slots float64) {
	if !sh.levelIsDue(now) {
		return
	}
	sh.levelAt = now
	sh.demands = sh.demands[:0]
	total, weight := 0.0, 0.0
	for _, f := range sh.list {
		f.demand = f.recent.load(now, math.Inf(-1))
		if f.demand > 0 {
			sh.demands = append(sh.demands, fairshare.Demand{Weight: f.Weight(), Amount: f.demand})
			total += f.demand
			weight += f.Weight()
		}
	}
	sh.level = fairshare.Level(slots, sh.demands)
	sh.unused = max(slots-total, 0)
	if weight == 0 {
		weight = 1 // nobody asks for anything; a single workspace of average weight may come first
	}
	sh.bound = shareBound.Seconds() * slots / weight
	sh.notice(now, s.name)
}

// isBeyond reports whether a workspace asks for more than its share.
func (sh *shares) isBeyond(f *share) bool {
	return f.demand > sh.level*f.Weight()*(1+burstShare)
}

// notice records the workspaces that are beyond their shares, each one once in shareNoticePeriod.
func (sh *shares) notice(now time.Duration, service string) {
	for _, f := range sh.list {
		if sh.isBeyond(f) && (f.noticedAt == 0 || now-f.noticedAt >= shareNoticePeriod) {
			f.noticedAt = now
			sh.notices = append(sh.notices, ShareNotice{service, f.workspace, f.demand, sh.level * f.Weight()})
		}
	}
}

// forgetIdle removes the workspaces that have neither recent nor waiting requests. It must not be called while a request
// is being added to the queue, because the share of that one would be removed.
func (sh *shares) forgetIdle(now time.Duration, waiting []*trackedRequest) {
	sh.forgetAt = now + levelPeriod
	used := map[*share]bool{}
	for _, r := range waiting {
		used[r.share] = true
	}
	sh.list = slices.DeleteFunc(sh.list, func(f *share) bool {
		idle := !used[f] && f.recent.load(now, math.Inf(-1)) == 0
		if idle {
			delete(sh.byWorkspace, f.workspace)
		}
		return idle
	})
}
