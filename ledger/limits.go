package ledger

import "time"

const (
	minuteMillis = int64(time.Minute / time.Millisecond)
	// maxRemovalsPerTick is the maximum number of entries that one Tick removes, so that Tick takes about a
	// millisecond even when many keys expire together.
	maxRemovalsPerTick = 10_000
)

// workspaceUsage is the share of the limits that one workspace uses.
type workspaceUsage struct {
	name                string
	keys                int // number of claims and entries
	storedResponseBytes int
	storedResponses     []ID // keys with a stored response, oldest first; may include removed keys
}

// admitKey adds one key to the usage of a workspace, or returns *LimitError.
func (l *Ledger) admitKey(name string) (*workspaceUsage, error) {
	w, found := l.workspaces[name]
	if !found {
		w = &workspaceUsage{name: name}
	}
	free := l.limits.Keys - len(l.claims) - len(l.keys)
	allowed := min(l.limits.KeysPerWorkspace, free)
	if w.keys >= allowed {
		return nil, &LimitError{Workspace: name, Limit: max(0, allowed)}
	}
	l.addKey(w)
	return w, nil
}

func (l *Ledger) addKey(w *workspaceUsage) {
	w.keys++
	l.workspaces[w.name] = w
}

func (l *Ledger) removeKey(w *workspaceUsage) {
	w.keys--
	if w.keys == 0 {
		delete(l.workspaces, w.name)
	}
}

func (l *Ledger) removeClaim(id ID) {
	c, found := l.claims[id]
	if !found {
		return
	}
	delete(l.claims, id)
	l.removeKey(c.workspace)
}

// addStoredResponse counts the response of e and evicts older responses of the same workspace to make room
// for it. If there is still not enough room, it keeps only the status of the response.
func (l *Ledger) addStoredResponse(id ID, e *entry) {
	if e.response == nil || e.response.Omitted {
		return
	}
	w := e.workspace
	size := e.response.size()
	for w.storedResponseBytes+size > l.limits.StoredResponseBytes-l.storedResponseBytes && len(w.storedResponses) > 0 {
		l.removeOldestStoredResponse(w)
	}
	if w.storedResponseBytes+size > l.limits.StoredResponseBytes-l.storedResponseBytes {
		e.response = e.response.Bounded(0)
		return
	}
	w.storedResponses = append(w.storedResponses, id)
	w.storedResponseBytes += size
	l.storedResponseBytes += size
}

func (l *Ledger) removeOldestStoredResponse(w *workspaceUsage) {
	id := w.storedResponses[0]
	w.storedResponses = w.storedResponses[1:]
	if e, found := l.keys[id]; found {
		l.removeStoredResponse(id, e)
	}
}

// removeStoredResponse removes header and body of the response of e. It replaces the entry instead of
// modifying it, because a View may be reading it.
func (l *Ledger) removeStoredResponse(id ID, e *entry) {
	if e.response == nil || e.response.Omitted {
		return
	}
	size := e.response.size()
	e.workspace.storedResponseBytes -= size
	l.storedResponseBytes -= size
	stripped := *e
	stripped.response = &Response{Status: e.response.Status, Omitted: true}
	l.keys[id] = &stripped
}

// removalMinute returns the minute, counted from the Unix epoch, in which a key with the given expiry is
// removed.
func (l *Ledger) removalMinute(expiry int64) int64 {
	return (expiry+l.limits.RetentionAfterExpiry.Milliseconds())/minuteMillis + 1
}

// Tick removes entries at the end of their retention after expiry, and claims at the end of their lifetime.
// Both removals are safe, because the key remains expired or the holder's begin becomes stale. Tick writes no
// record.
func (l *Ledger) Tick(now time.Time) {
	l.advanceTime(now)
	l.removeExpiredEntries()
	if l.highestTime-l.lastClaimScan >= minuteMillis {
		l.lastClaimScan = l.highestTime
		l.removeExpiredClaims()
	}
}

func (l *Ledger) removeExpiredEntries() {
	minute := l.highestTime / minuteMillis
	removed := 0
	for removalMinute, ids := range l.removals {
		if removalMinute > minute {
			continue
		}
		n := min(len(ids), maxRemovalsPerTick-removed)
		for _, id := range ids[:n] {
			l.removeEntry(id)
		}
		removed += n
		l.removals[removalMinute] = ids[n:]
		if n == len(ids) {
			delete(l.removals, removalMinute)
		}
	}
}

func (l *Ledger) removeEntry(id ID) {
	e, found := l.keys[id]
	if !found {
		return
	}
	l.removeStoredResponse(id, e)
	delete(l.keys, id)
	w := e.workspace
	for len(w.storedResponses) > 0 && l.keys[w.storedResponses[0]] == nil {
		w.storedResponses = w.storedResponses[1:]
	}
	l.removeKey(w)
}

func (l *Ledger) removeExpiredClaims() {
	for id, c := range l.claims {
		if c.expiry <= l.highestTime || l.highestTime-c.claimedAt >= l.limits.ClaimLifetime.Milliseconds() {
			l.removeClaim(id)
		}
	}
}
