package placement

import (
	"maps"
	"slices"
	"time"
)

// crashWindow is the time between the loss of a connection and the sign that the engine has crashed: a crashed
// engine is tried again soon, and leaves the platform's list after some seconds.
const crashWindow = 5 * time.Second

// lostRun is a run whose connection was lost before the engine responded.
type lostRun struct {
	parts     []PartID
	grantedAt time.Duration
	lostAt    time.Duration
}

// lossReportTime is the time within which the instances report the runs that an engine has lost with its crash.
const lossReportTime = 300 * time.Millisecond

// losses holds the runs of an engine whose connections were lost, until it is known whether the engine has crashed.
// A single lost connection does not show that: engines also reset single requests.
type losses struct {
	count     int // started ones included
	since     time.Duration
	newest    time.Duration
	unstarted []lostRun
}

// Crash reports an engine that has crashed.
type Crash struct {
	Engine    string
	Service   string
	Lost      int // runs whose connections were lost
	Unstarted int // those of them without a response
}

// recordLoss records that the connection of a run was lost. unstarted states that the run had no response.
func (e *engine) recordLoss(now time.Duration, run lostRun, unstarted bool) {
	if e.losses.count > 0 && now-e.losses.since > crashWindow {
		e.losses = losses{}
	}
	if e.losses.count == 0 {
		e.losses.since = now
	}
	e.losses.count++
	e.losses.newest = now
	if unstarted && len(run.parts) > 0 {
		e.losses.unstarted = append(e.losses.unstarted, run)
	}
}

// clearLosses forgets the lost connections, as the engine has responded to a run that was granted afterwards.
func (e *engine) clearLosses(r *trackedRequest) {
	if e.losses.count > 0 && r.grantedAt > e.losses.since {
		e.losses = losses{}
	}
}

// lostAll reports whether the connections of several runs were lost and none is left.
func (e *engine) lostAll() bool { return e.losses.count > 1 && len(e.runs) == 0 }

// awaitsLosses reports whether runs without a response may still be reported as lost with those that are known. One of
// them may be at fault.
func (e *engine) awaitsLosses(now time.Duration) bool {
	if e.losses.count == 0 || now-e.losses.newest > lossReportTime {
		return false
	}
	return slices.ContainsFunc(e.runs, func(r *trackedRequest) bool { return !r.started && r.grantedAt <= e.losses.newest })
}

// recordCrash records that an engine with lost connections has crashed, if it has any.
func (c *Core) recordCrash(now time.Duration, e *engine) {
	lost := e.losses
	e.losses = losses{}
	if lost.count == 0 || now-lost.newest > crashWindow {
		return
	}
	s := c.service(e.Service)
	c.forgetVanished(now)
	runs := slices.DeleteFunc(lost.unstarted, func(run lostRun) bool { return now-run.lostAt > crashWindow })
	s.suspects.recordCrash(now, e.ID, runs, c.isIncomplete(now))
	known := e.crashedAt != 0 && now-e.crashedAt <= crashWindow // the rest of the runs of the same crash
	if e.crashedAt = now; !known && len(c.crashes) < maxHealthChanges {
		c.crashes = append(c.crashes, Crash{Engine: e.ID, Service: e.Service, Lost: lost.count, Unstarted: len(lost.unstarted)})
	}
}

// isIncomplete reports whether crashes and responses that matter now may have been reported to another core.
func (c *Core) isIncomplete(now time.Duration) bool {
	return c.countsSince != 0 && now-c.countsSince < completeAfter
}

// vanishedEngine is an engine that has left the list without notice.
type vanishedEngine struct {
	service string
	at      time.Duration
	runs    []lostRun // that its crash was recorded with
}

func (c *Core) forgetVanished(now time.Duration) {
	maps.DeleteFunc(c.vanished, func(_ string, e vanishedEngine) bool { return now-e.at > crashWindow })
}

// LostRequest is a request to an engine of a plain service whose connection was lost before a response.
type LostRequest struct {
	Engine string
	Parts  []PartID
	SentAt time.Duration
	LostAt time.Duration
}

// RecordLostRequest records the loss of a request that an instance sent without a grant. The loss and the unreachable
// engine that shows its crash may be reported by different instances, in any order.
func (c *Core) RecordLostRequest(now time.Duration, lost *LostRequest) {
	run := lostRun{parts: lost.Parts, grantedAt: lost.SentAt, lostAt: lost.LostAt}
	e := c.engines[lost.Engine]
	c.forgetVanished(now)
	gone, vanished := c.vanished[lost.Engine]
	if e == nil || vanished && run.grantedAt <= gone.at { // sent to a former start of the engine
		if vanished && now-run.lostAt <= crashWindow {
			c.service(gone.service).suspects.recordLateLoss(now, lost.Engine, &run, gone.runs, c.isIncomplete(now))
		}
		return
	}
	e.recordLoss(now, run, true)
	if e.unreachableAt != 0 && now-e.unreachableAt <= crashWindow {
		c.recordCrash(now, e)
	}
}

// RecordUnreachable records that an engine of a plain service accepted no connection.
func (c *Core) RecordUnreachable(now time.Duration, engineID string) {
	if e := c.engines[engineID]; e != nil {
		e.unreachableAt = now
		c.recordCrash(now, e)
	}
}

// RecordResponse records that a plain service responded to a request with these parts.
func (c *Core) RecordResponse(now time.Duration, service string, parts []PartID) {
	c.service(service).suspects.recordResponse(now, parts)
}

// WatchedParts returns the parts whose responses instances have to report, because requests to plain services are not
// tracked here: those that are close to being blocked, or were.
func (c *Core) WatchedParts(now time.Duration) []PartID {
	var parts []PartID
	for _, s := range c.services {
		for part, suspect := range s.suspects.parts {
			if suspect.isWatched() && !suspect.isForgotten(now) {
				parts = append(parts, part)
			}
		}
	}
	return parts
}

// WatchChanged reports whether the result of WatchedParts may have changed since the last call.
func (c *Core) WatchChanged() bool {
	changed := false
	for _, s := range c.services {
		changed = changed || s.suspects.watchChanged
		s.suspects.watchChanged = false
	}
	return changed
}

// ForgetSuspicions forgets the parts that crashed engines and are not blocked. Responses that would have cleared them
// may have been reported to another core.
func (c *Core) ForgetSuspicions(now time.Duration) {
	for _, s := range c.services {
		s.suspects.forget(func(suspect *suspect) bool { return !suspect.isBlocked(now) && suspect.blockTime == 0 })
	}
}

// CountFrom records that crashes and responses up to now may have been reported to another core.
func (c *Core) CountFrom(now time.Duration) { c.countsSince = now }

// ForgetSuspects forgets all parts that crashed engines, also those that are blocked.
func (c *Core) ForgetSuspects() {
	for _, s := range c.services {
		s.suspects = suspects{}
	}
}

// Crashes returns the crashes since the last call.
func (c *Core) Crashes() []Crash {
	crashes := c.crashes
	c.crashes = nil
	return crashes
}

// PartChanges returns the parts of prompts that were blocked or released since the last call.
func (c *Core) PartChanges() []PartChange {
	var changes []PartChange
	for name, s := range c.services {
		for _, change := range s.suspects.changes {
			change.Service = name
			changes = append(changes, change)
		}
		s.suspects.changes = nil
	}
	return changes
}

// BlockedParts returns the parts of prompts that are blocked.
func (c *Core) BlockedParts(now time.Duration) []BlockedPart {
	var list []BlockedPart
	for name, s := range c.services {
		list = s.suspects.blocked(now, name, list)
	}
	slices.SortFunc(list, func(a, b BlockedPart) int { return int(a.LeftMS - b.LeftMS) })
	return list
}

// AdoptBlockedParts blocks the parts that another core has blocked.
func (c *Core) AdoptBlockedParts(now time.Duration, list []BlockedPart) {
	for i := range list {
		c.service(list[i].Service).suspects.adopt(now, &list[i])
	}
}

// FollowBlockedParts blocks the parts that the core which this one follows has blocked, and releases those that it
// has released.
func (c *Core) FollowBlockedParts(now time.Duration, list []BlockedPart) {
	for name, s := range c.services {
		s.suspects.dropAdopted(now, name, list)
	}
	c.AdoptBlockedParts(now, list)
}

// rejectBlocked rejects the waiting requests with a blocked part.
func (c *Core) rejectBlocked(now time.Duration, s *service) {
	if len(s.suspects.parts) == 0 {
		return
	}
	c.rejectWaiting(now, s, func(_ int, r *trackedRequest) (Reason, time.Duration) {
		if left := s.suspects.blockedFor(now, r.Parts); left > 0 {
			return ReasonBlockedPart, left
		}
		return "", 0
	})
}
