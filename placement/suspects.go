package placement

import (
	"maps"
	"slices"
	"time"
)

// PartID identifies something that requests have in common: a part of their prompts, or the fingerprint of a request
// and of its repetitions.
type PartID uint64

const (
	// blockAfter is the number of crashes in a row after which a part is blocked. A response to any request with
	// the part ends the row.
	blockAfter = 3
	// trialAfter is the number of crashes in a row from which only one request with the part is on trial at a
	// time, so that further crashes are few. Crashes that have nothing to do with a part rarely reach it.
	trialAfter = 2
	// firstBlock is how long a part is blocked at first. Each further block lasts twice as long, up to maxBlock:
	// a trial with a part that still crashes engines costs the streams of one engine.
	firstBlock = 2 * time.Minute
	maxBlock   = time.Hour
	// ambiguousBlock is how long parts are blocked if different requests were lost with the crash that lets block
	// them, or if another core may have seen what clears them. The sound ones get a response afterwards; the next
	// crash tells the other.
	ambiguousBlock = 5 * time.Second
	// completeAfter is the time from which a new core has seen enough to tell sound requests from others.
	completeAfter = 5 * time.Second
	// maxCrashedEngines is the number of engines that are remembered for a part.
	maxCrashedEngines = 8
	// overlapTolerance is by how much two runs may seem to overlap although one followed the other, because the
	// times come from several messages in whole milliseconds.
	overlapTolerance = 5 * time.Millisecond
	// suspicionTime is the time without a further crash after which a part that is not blocked is forgotten.
	suspicionTime = 10 * time.Minute
	// maxSuspects is the maximum number of parts that are tracked for a service.
	maxSuspects = 4096
)

// suspects tracks the parts of requests that may crash the engines of a service. It is made for a prompt, or a request,
// that an engine cannot bear: every engine that begins to respond to it ends, and all instances send such requests,
// which also contain parts of sound ones.
//
// A part is suspected if it was in the prompt of a run that had no response when its engine crashed. Only a run
// that did not overlap with that of the former crash counts as a further one, so crashes of many engines at the same
// time count once. As sound requests share their other parts, a response clears all but the part at fault.
type suspects struct {
	parts   map[PartID]*suspect
	changes []PartChange
	// watchChanged states that a part has become watched, or is not any more.
	watchChanged bool
	// released holds when blocked parts were released. Others may still report the block.
	released map[PartID]time.Duration
	// explained holds the crashes, by engine, that a blocked request explains: when it was lost. Other requests that were
	// lost with it may be reported later.
	explained map[string]time.Duration
}

// suspect is a part of a prompt with the crashes since the last response to a request with it.
type suspect struct {
	crashes      int
	lastCrash    time.Duration
	lastGrant    time.Duration   // grant of the run of the last crash
	engines      []crashedEngine // the newest crashes, oldest first
	trial        *trackedRequest // newest run since trialAfter was reached
	blockedUntil time.Duration
	blockTime    time.Duration // length of the last block, 0 before the first one
	// blockedWith holds the parts that were blocked because of the same crash, with this one. One of them may
	// be sound: a request that has only some of them may run on trial.
	blockedWith []PartID
	adopted     bool // blocked by another core, which this one follows
}

// crashedEngine is an engine that crashed.
type crashedEngine struct {
	id string
	at time.Duration
}

// crashedAt reports whether the loss of a run at an engine belongs to a crash that was already counted. An engine that
// has crashed loses all requests while it is still listed.
func (s *suspect) crashedAt(lostAt time.Duration, engine string) bool {
	return slices.ContainsFunc(s.engines, func(e crashedEngine) bool { return e.id == engine && lostAt-e.at <= crashWindow })
}

// PartChange reports that a part of prompts was blocked or released.
type PartChange struct {
	Service string
	Part    PartID
	Blocked bool
	Crashes int // in a row
}

// BlockedPart is a part of prompts that is blocked for a service.
type BlockedPart struct {
	Service string   `cbor:"1,keyasint"`
	Part    PartID   `cbor:"2,keyasint"`
	LeftMS  int64    `cbor:"3,keyasint"` // remaining time of the block
	With    []PartID `cbor:"4,keyasint,omitempty"`
}

// applies reports whether a request with the given parts is blocked by b.
func (b *BlockedPart) applies(service string, parts []PartID) bool {
	return b.Service == service && slices.Contains(parts, b.Part) && containsAll(parts, b.With)
}

func containsAll(parts, wanted []PartID) bool {
	for _, part := range wanted {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

func (s *suspect) isBlocked(now time.Duration) bool { return now < s.blockedUntil }

func (s *suspect) isForgotten(now time.Duration) bool {
	return s.blockTime == 0 && now-s.lastCrash > suspicionTime
}

// isWatched reports whether the next crash blocks the part, or the part was blocked before.
func (s *suspect) isWatched() bool { return s.crashes >= trialAfter }

// onTrial reports whether the outcome of a run with the part is awaited. A run at an engine that stays silent for
// too long is no trial any more.
func (s *suspect) onTrial(now time.Duration) bool {
	r := s.trial
	return r != nil && r.engine != nil && !r.started && now-r.grantedAt <= r.firstEventLimit
}

// overlaps reports whether a run was in progress at the same time as that of the newest crash.
func (s *suspect) overlaps(run *lostRun) bool {
	follows := run.grantedAt > s.lastGrant && run.grantedAt >= s.lastCrash-overlapTolerance
	precedes := run.lostAt < s.lastCrash && run.lostAt <= s.lastGrant+overlapTolerance
	return !follows && !precedes
}

// recordCrash records that an engine crashed before it responded to some runs. Each part counts once, however many of
// the runs had it. incomplete states that other crashes and responses may have been reported to another core. It reports
// whether the crash lets block any part.
func (t *suspects) recordCrash(now time.Duration, engine string, runs []lostRun, incomplete bool) (blocks bool) {
	var guilty []lostRun
	for i := range runs {
		if t.refine(now, runs[i].parts) {
			guilty = append(guilty, runs[i])
		}
	}
	if len(guilty) > 0 {
		t.explain(now, engine, guilty)
		return false // a blocked request crashed the engine while the others happened to run there
	}
	if slices.ContainsFunc(runs, t.wasBlocked) {
		runs = slices.DeleteFunc(slices.Clone(runs), func(run lostRun) bool { return !t.wasBlocked(run) })
		t.explain(now, engine, runs)
	} else {
		runs = slices.DeleteFunc(slices.Clone(runs), func(run lostRun) bool { return t.isExplained(engine, &run) })
	}
	counted := map[PartID]bool{}
	var blocked [][]PartID // the parts that each run lets block
	for i := range runs {
		if reached := t.countCrash(now, engine, &runs[i], counted); len(reached) > 0 {
			blocked = append(blocked, reached)
		}
	}
	blocked = mostSpecific(blocked)
	if common := commonParts(blocked); len(common) > 0 {
		blocked = [][]PartID{common}
	}
	ambiguous := incomplete || len(blocked) > 1
	for _, parts := range blocked {
		for _, part := range parts {
			t.block(now, part, parts, ambiguous)
		}
	}
	return len(blocked) > 0
}

// explain records that a crash is explained by runs that have blocked parts, or had some. The other parts that were
// counted for it happened to run there.
func (t *suspects) explain(now time.Duration, engine string, guilty []lostRun) {
	maps.DeleteFunc(t.explained, func(_ string, at time.Duration) bool { return now-at > crashWindow })
	if t.explained == nil {
		t.explained = map[string]time.Duration{}
	}
	for i := range guilty {
		t.explained[engine] = max(t.explained[engine], guilty[i].lostAt)
	}
	for part, s := range t.parts {
		if !slices.ContainsFunc(guilty, func(run lostRun) bool { return slices.Contains(run.parts, part) }) {
			t.forgive(now, part, s, engine)
		}
	}
}

// forgive takes back what was counted for a part at an explained crash.
func (t *suspects) forgive(now time.Duration, part PartID, s *suspect, engine string) {
	at := t.explained[engine]
	before := len(s.engines)
	s.engines = slices.DeleteFunc(s.engines, func(e crashedEngine) bool {
		return e.id == engine && max(at-e.at, e.at-at) <= crashWindow
	})
	if len(s.engines) == before {
		return
	}
	watched := s.isWatched()
	s.crashes -= before - len(s.engines)
	t.watchChanged = t.watchChanged || watched != s.isWatched()
	if s.crashes <= 0 || s.isBlocked(now) && s.crashes < blockAfter {
		t.release(now, part)
	}
}

// isExplained reports whether a run was lost with a crash that a blocked request explains, or after it: an engine that
// has crashed loses all requests while it is still listed.
func (t *suspects) isExplained(engine string, run *lostRun) bool {
	at, known := t.explained[engine]
	return known && max(run.lostAt-at, at-run.lostAt) <= crashWindow
}

// recordLateLoss records one more run that an engine had when it crashed, after the crash was recorded with the other
// runs. If it lets block a part, it is not certain any more that one of the others was at fault.
func (t *suspects) recordLateLoss(now time.Duration, engine string, run *lostRun, others []lostRun, incomplete bool) {
	if !t.recordCrash(now, engine, []lostRun{*run}, incomplete) {
		return
	}
	for i := range others {
		for _, part := range others[i].parts {
			s := t.parts[part]
			if s == nil || slices.Contains(run.parts, part) || s.blockedUntil <= now+ambiguousBlock || !s.crashedAt(run.lostAt, engine) {
				continue
			}
			s.blockedUntil, s.blockTime = now+ambiguousBlock, 0
			t.changes = append(t.changes, PartChange{Part: part, Blocked: true, Crashes: s.crashes})
		}
	}
}

// wasBlocked reports whether a run has a part that was blocked and has had no response since.
func (t *suspects) wasBlocked(run lostRun) bool {
	return slices.ContainsFunc(run.parts, func(part PartID) bool {
		s := t.parts[part]
		return s != nil && s.crashes >= blockAfter
	})
}

// mostSpecific returns the sets that are not contained in another one, each once. If a request and a part that it
// shares with others could be at fault, only the request is blocked: a further crash tells if it was the part.
func mostSpecific(sets [][]PartID) [][]PartID {
	var out [][]PartID
	for i, set := range sets {
		contained := false
		for j, other := range sets {
			if i != j && containsAll(other, set) && (len(other) > len(set) || j < i) {
				contained = true
			}
		}
		if !contained {
			out = append(out, set)
		}
	}
	return out
}

// commonParts returns the parts that all sets have.
func commonParts(sets [][]PartID) []PartID {
	if len(sets) == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(sets[0]), func(part PartID) bool {
		return slices.ContainsFunc(sets, func(set []PartID) bool { return !slices.Contains(set, part) })
	})
}

// countCrash counts a crash for the parts of a run and returns those that have to be blocked.
func (t *suspects) countCrash(now time.Duration, engine string, run *lostRun, counted map[PartID]bool) (reached []PartID) {
	for _, part := range run.parts {
		s := t.suspect(now, part)
		if !counted[part] {
			if s.crashes > 0 && s.overlaps(run) || s.crashedAt(run.lostAt, engine) {
				continue
			}
			counted[part] = true
			s.crashes++
			t.watchChanged = t.watchChanged || s.isWatched()
			s.lastCrash, s.lastGrant = max(s.lastCrash, run.lostAt), max(s.lastGrant, run.grantedAt)
			s.engines = append(s.engines, crashedEngine{engine, run.lostAt})
			s.engines = s.engines[max(len(s.engines)-maxCrashedEngines, 0):]
		}
		if s.crashes >= blockAfter {
			reached = append(reached, part)
		}
	}
	return reached
}

// refine handles the crash of a run with blocked parts, which explain it. If the run had only some of the parts
// that were blocked together, the others are released. It reports whether the run had a blocked part.
func (t *suspects) refine(now time.Duration, parts []PartID) bool {
	explained := false
	for _, part := range parts {
		s := t.parts[part]
		if s == nil || !s.isBlocked(now) {
			continue
		}
		explained = true
		var guilty []PartID
		for _, other := range s.blockedWith {
			if slices.Contains(parts, other) {
				guilty = append(guilty, other)
			} else {
				t.release(now, other)
			}
		}
		s.blockedWith = guilty
	}
	return explained
}

// suspect returns the record of a part, and creates it if there is none.
func (t *suspects) suspect(now time.Duration, part PartID) *suspect {
	s := t.parts[part]
	if s == nil || s.isForgotten(now) {
		if t.parts == nil {
			t.parts = map[PartID]*suspect{}
		}
		if len(t.parts) >= maxSuspects {
			t.evict(now)
		}
		s = &suspect{}
		t.parts[part] = s
	}
	return s
}

// evict removes the part that is not blocked and whose last crash is the oldest, or any part if all are blocked.
func (t *suspects) evict(now time.Duration) {
	var oldest PartID
	var found *suspect
	for part, s := range t.parts {
		if found == nil || !s.isBlocked(now) && (found.isBlocked(now) || s.lastCrash < found.lastCrash) {
			oldest, found = part, s
		}
	}
	delete(t.parts, oldest)
}

func (t *suspects) forget(isForgotten func(*suspect) bool) {
	before := len(t.parts)
	maps.DeleteFunc(t.parts, func(_ PartID, s *suspect) bool { return isForgotten(s) })
	t.watchChanged = t.watchChanged || len(t.parts) != before
}

func (t *suspects) block(now time.Duration, part PartID, with []PartID, ambiguous bool) {
	s := t.parts[part]
	delete(t.released, part)
	if ambiguous {
		s.blockedUntil = now + ambiguousBlock
	} else {
		s.blockTime = min(max(2*s.blockTime, firstBlock), maxBlock)
		s.blockedUntil = now + s.blockTime
	}
	s.blockedWith = with
	t.changes = append(t.changes, PartChange{Part: part, Blocked: true, Crashes: s.crashes})
}

// release forgets a part, which no longer counts as one of those that were blocked together.
func (t *suspects) release(now time.Duration, part PartID) {
	s := t.parts[part]
	if s == nil {
		return
	}
	delete(t.parts, part)
	t.watchChanged = t.watchChanged || s.isWatched()
	for _, other := range s.blockedWith {
		if o := t.parts[other]; o != nil {
			o.blockedWith = slices.DeleteFunc(slices.Clone(o.blockedWith), func(p PartID) bool { return p == part })
		}
	}
	if s.isBlocked(now) {
		t.changes = append(t.changes, PartChange{Part: part, Crashes: s.crashes})
		t.recordRelease(now, part)
	}
}

func (t *suspects) recordRelease(now time.Duration, part PartID) {
	maps.DeleteFunc(t.released, func(_ PartID, at time.Duration) bool { return now-at > maxBlock })
	if t.released == nil {
		t.released = map[PartID]time.Duration{}
	}
	if len(t.released) < maxSuspects {
		t.released[part] = now
	}
}

// recordResponse records that an engine responded to a request with these parts.
func (t *suspects) recordResponse(now time.Duration, parts []PartID) {
	if len(t.parts) == 0 {
		return
	}
	for _, part := range parts {
		t.release(now, part)
	}
}

// recordGrant records a run, which is the trial of its suspected parts.
func (t *suspects) recordGrant(r *trackedRequest) {
	for _, part := range r.Parts {
		if s := t.parts[part]; s != nil && s.isWatched() {
			s.trial = r
		}
	}
}

// blockedFor returns how long requests with these parts are blocked, or 0.
func (t *suspects) blockedFor(now time.Duration, parts []PartID) time.Duration {
	longest := time.Duration(0)
	for _, part := range parts {
		if s := t.parts[part]; s != nil && s.isBlocked(now) && containsAll(parts, s.blockedWith) {
			longest = max(longest, s.blockedUntil-now)
		}
	}
	return longest
}

// mustWait reports whether a request must wait for the outcome of a trial.
func (t *suspects) mustWait(now time.Duration, parts []PartID) bool {
	if len(t.parts) == 0 {
		return false
	}
	for _, part := range parts {
		if s := t.parts[part]; s != nil && s.isWatched() && !s.isForgotten(now) && s.onTrial(now) {
			return true
		}
	}
	return false
}

// blocked appends the blocked parts of the service to list.
func (t *suspects) blocked(now time.Duration, service string, list []BlockedPart) []BlockedPart {
	for part, s := range t.parts {
		if s.isBlocked(now) {
			list = append(list, BlockedPart{
				Service: service, Part: part, LeftMS: (s.blockedUntil - now).Milliseconds(), With: s.blockedWith,
			})
		}
	}
	return list
}

// adopt blocks a part that another core has blocked, unless this core has its own record of it or has released it.
func (t *suspects) adopt(now time.Duration, b *BlockedPart) {
	left := min(time.Duration(max(b.LeftMS, 0))*time.Millisecond, maxBlock)
	_, released := t.released[b.Part]
	if s := t.parts[b.Part]; released || left == 0 || s != nil && (s.isBlocked(now) || !s.adopted) {
		return
	}
	s := t.suspect(now, b.Part)
	*s = suspect{
		crashes: blockAfter, lastCrash: now, blockedUntil: now + left, blockTime: max(left, firstBlock),
		blockedWith: b.With, adopted: true,
	}
	t.watchChanged = true
	t.changes = append(t.changes, PartChange{Part: b.Part, Blocked: true, Crashes: s.crashes})
}

// dropAdopted releases the adopted parts that are not in list.
func (t *suspects) dropAdopted(now time.Duration, service string, list []BlockedPart) {
	for part, s := range t.parts {
		listed := slices.ContainsFunc(list, func(b BlockedPart) bool { return b.Service == service && b.Part == part })
		if s.adopted && !listed {
			t.release(now, part)
			delete(t.released, part) // its evidence is not known here
		}
	}
}
