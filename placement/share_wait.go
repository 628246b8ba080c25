package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// waitInShares is expectedWait with fair shares.
func (c *Core) waitInShares(now time.Duration, s *service, r *trackedRequest) time.Duration {
	slots := c.slotCapacity(now, s)
	s.shares.updateLevel(now, s, slots)
	return c.combineWaits(now, s.shares, slots, r, func(density float64) demandInShares {
		for _, f := range s.shares.list {
			f.ahead = 0
		}
		for _, other := range s.waiting {
			if other != r && !s.leavesSlots(now, other) && other.currentDensity(now) >= density {
				other.share.ahead += c.latency.slotTime(other, s.slots())
			}
		}
		var d demandInShares
		for _, f := range s.shares.list {
			own := demand{work: f.ahead, load: f.recent.load(now, density)}
			if f == r.share {
				d.own = own
			}
			d.all.add(own)
			d.capped.add(s.shares.limit(f, own))
		}
		return d
	})
}

// demandInShares is the demand ahead of a request.
type demandInShares struct {
	all    demand
	capped demand // as far as the shares of its workspaces cover it
	own    demand // of the request's workspace
}

func (d *demand) add(other demand) {
	d.work += other.work
	d.load += other.load
}

// limit returns the part of a workspace's demand that its share lets go ahead of others by value.
func (sh *shares) limit(f *share, d demand) demand {
	if math.IsInf(sh.level, 1) {
		return d
	}
	slots := sh.level * f.Weight()
	return demand{work: min(d.work, time.Duration(slots*float64(shareBound))), load: min(d.load, slots)}
}

// combineWaits returns the expected wait of a request in shares, given the demand ahead of it. As in estimateWait, a
// request that would be late loses value and has more work ahead of it.
func (c *Core) combineWaits(
	now time.Duration, sh *shares, slots float64, r *trackedRequest, demandAhead func(density float64) demandInShares,
) time.Duration {
	if slots == 0 {
		return noCapacityWait
	}
	d := demandAhead(r.valueDensity)
	wait := sh.wait(slots, r.share, &d)
	if now+wait+c.latency.minTimeToFirstEvent(r) > r.FirstEventDue {
		d = demandAhead(lateValue * r.valueDensity)
		wait = sh.wait(slots, r.share, &d)
	}
	left := min(r.FirstEventDeadline, r.Deadline) - c.latency.minTimeToFirstEvent(r) - now
	r.heldByShare = wait > left && d.all.wait(slots) <= left
	return wait
}

// wait returns the time until a request of a workspace gets a slot. It waits for the more valuable work that shares let
// go first, and until its workspace is ahead of its share by no more than the bound. A workspace that is not beyond its
// share waits no longer than the bound in addition, since the others are passed over then.
func (sh *shares) wait(slots float64, f *share, d *demandInShares) time.Duration {
	own := max(sh.slotsOf(f), minShareSlots)
	lead := time.Duration(sh.set.Lead(&f.Flow) * f.Weight() * float64(time.Second))
	ahead := demand{work: d.own.work + lead, load: max(d.own.load-burstShare*own, 0)}
	inShare := max(ahead.wait(own)-shareBound, 0)
	wait := max(d.capped.wait(slots), inShare)
	if !sh.isBeyond(f) {
		wait = min(wait, inShare+shareBound)
	}
	return wait
}

// slotsOf returns the number of slots that a workspace can use: its fair share, or what the others leave.
func (sh *shares) slotsOf(f *share) float64 {
	if math.IsInf(sh.level, 1) {
		return sh.unused + f.demand
	}
	return sh.level * f.Weight()
}

// overloadReason returns the reason for which a request is refused that would wait too long: its share if it could have
// been served by its value alone.
func overloadReason(r *trackedRequest) Reason {
	if r.heldByShare {
		return ReasonShare
	}
	return ReasonOverload
}

// unlimitedWork is more work than a queue ever holds: 36 years.
const unlimitedWork = time.Duration(1 << 60)

// shareReview estimates the waits of all waiting requests of a service in their shares.
type shareReview struct {
	core        *Core
	now         time.Duration
	service     *service
	slots       float64
	waiting     []workItem // by position in the queue
	all, capped demandIndex
	own         map[*share]*demandIndex
}

// demandIndex finds the demand of at least a density.
type demandIndex struct{ queue, arriving workByDensity }

func (x *demandIndex) atLeast(density float64) demand {
	return demand{work: x.queue.atLeast(density), load: x.arriving.atLeast(density).Seconds() / arrivalWindow.Seconds()}
}

// newShareReview prepares the estimates for the waiting requests, whose work is given by position in the queue.
func (c *Core) newShareReview(now time.Duration, s *service, slots float64, waiting []workItem) *shareReview {
	sh := s.shares
	sh.updateLevel(now, s, slots)
	v := &shareReview{core: c, now: now, service: s, slots: slots, waiting: waiting, own: map[*share]*demandIndex{}}
	byShare := map[*share][]workItem{}
	for i, r := range s.waiting {
		byShare[r.share] = append(byShare[r.share], waiting[i])
	}
	var queue, arriving, cappedQueue, cappedArriving []workItem
	for _, f := range sh.list {
		waits, arrived := byShare[f], f.recent.since(now-arrivalWindow)
		if len(waits) > 0 {
			v.own[f] = &demandIndex{newWorkByDensity(waits), newWorkByDensity(arrived)}
		}
		queue, arriving = append(queue, waits...), append(arriving, arrived...)
		most := sh.limit(f, demand{work: unlimitedWork, load: float64(unlimitedWork) / float64(arrivalWindow)})
		cappedQueue = appendUpTo(cappedQueue, waits, most.work)
		cappedArriving = appendUpTo(cappedArriving, arrived, time.Duration(most.load*float64(arrivalWindow)))
	}
	v.all = demandIndex{newWorkByDensity(queue), newWorkByDensity(arriving)}
	v.capped = demandIndex{newWorkByDensity(cappedQueue), newWorkByDensity(cappedArriving)}
	return v
}

// appendUpTo appends the items of highest density until they reach an amount of work.
func appendUpTo(list, items []workItem, most time.Duration) []workItem {
	slices.SortFunc(items, func(a, b workItem) int { return cmp.Compare(b.density, a.density) })
	for _, item := range items {
		if most <= 0 {
			break
		}
		item.work = min(item.work, most)
		most -= item.work
		list = append(list, item)
	}
	return list
}

// wait returns the expected wait of the request at a position of the queue.
func (v *shareReview) wait(i int, r *trackedRequest) time.Duration {
	return v.core.combineWaits(v.now, v.service.shares, v.slots, r, func(density float64) demandInShares {
		d := demandInShares{all: v.all.atLeast(density), capped: v.capped.atLeast(density), own: v.own[r.share].atLeast(density)}
		if v.waiting[i].density >= density {
			d.all.work -= v.waiting[i].work
			d.own.work -= v.waiting[i].work
			d.capped.work = max(d.capped.work-v.waiting[i].work, 0)
		}
		return d
	})
}
