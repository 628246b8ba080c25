package ledger

import "time"

const (
	minuteMillis = int64(time.Minute / time.Millisecond)
	// sweepKeys bounds the entries that one Tick drops, so that a wave of expiries takes about a millisecond at a time.
	sweepKeys = 10_000
)

// workspace counts what one workspace occupies.
type workspace struct {
	name      string
	keys      int // claims and entries
	copyBytes int
	copies    []ID // keys with a copy of their answer, oldest first; may name keys that were dropped
}

// admit counts one more key for a workspace.
func (l *Ledger) admit(name string) (*workspace, error) {
	w, found := l.workspaces[name]
	if !found {
		w = &workspace{name: name}
	}
	free := l.limits.Keys - len(l.claims) - len(l.keys)
	allowed := min(l.limits.KeysPerWorkspace, free)
	if w.keys >= allowed {
		return nil, &LimitError{Workspace: name, Limit: max(0, allowed)}
	}
	l.count(w)
	return w, nil
}

func (l *Ledger) count(w *workspace) {
	w.keys++
	l.workspaces[w.name] = w
}

func (l *Ledger) uncount(w *workspace) {
	w.keys--
	if w.keys == 0 {
		delete(l.workspaces, w.name)
	}
}

func (l *Ledger) dropClaim(id ID) {
	c, found := l.claims[id]
	if !found {
		return
	}
	delete(l.claims, id)
	l.uncount(c.workspace)
}

// addCopy counts the copy of an answer and makes room for it among the older copies of its workspace.
func (l *Ledger) addCopy(id ID, e *entry) {
	if e.response == nil || e.response.Omitted {
		return
	}
	w := e.workspace
	size := e.response.size()
	for w.copyBytes+size > l.limits.StoredResponseBytes-l.copyBytes && len(w.copies) > 0 {
		l.dropOldestCopy(w)
	}
	if w.copyBytes+size > l.limits.StoredResponseBytes-l.copyBytes {
		e.response = e.response.Bounded(0)
		return
	}
	w.copies = append(w.copies, id)
	w.copyBytes += size
	l.copyBytes += size
}

func (l *Ledger) dropOldestCopy(w *workspace) {
	id := w.copies[0]
	w.copies = w.copies[1:]
	if e, found := l.keys[id]; found {
		l.dropCopy(id, e)
	}
}

// dropCopy replaces the entry instead of changing it, because a View may be reading it.
func (l *Ledger) dropCopy(id ID, e *entry) {
	if e.response == nil || e.response.Omitted {
		return
	}
	size := e.response.size()
	e.workspace.copyBytes -= size
	l.copyBytes -= size
	stripped := *e
	stripped.response = &Response{Status: e.response.Status, Omitted: true}
	l.keys[id] = &stripped
}

func (l *Ledger) dropMinute(expiry int64) int64 {
	return (expiry+l.limits.RetentionAfterExpiry.Milliseconds())/minuteMillis + 1
}

// Tick drops what is past its time: entries after expiry and linger, and claims after their lifetime. Both are safe
// to drop, because the key is expired for good or the holder's begin becomes stale. It writes nothing.
func (l *Ledger) Tick(now time.Time) {
	l.advance(now)
	l.dropEntries()
	if l.highest-l.lastClaimScan >= minuteMillis {
		l.lastClaimScan = l.highest
		l.dropClaims()
	}
}

func (l *Ledger) dropEntries() {
	minute := l.highest / minuteMillis
	dropped := 0
	for due, ids := range l.due {
		if due > minute {
			continue
		}
		n := min(len(ids), sweepKeys-dropped)
		for _, id := range ids[:n] {
			l.dropEntry(id)
		}
		dropped += n
		l.due[due] = ids[n:]
		if n == len(ids) {
			delete(l.due, due)
		}
	}
}

func (l *Ledger) dropEntry(id ID) {
	e, found := l.keys[id]
	if !found {
		return
	}
	l.dropCopy(id, e)
	delete(l.keys, id)
	w := e.workspace
	for len(w.copies) > 0 && l.keys[w.copies[0]] == nil {
		w.copies = w.copies[1:]
	}
	l.uncount(w)
}

func (l *Ledger) dropClaims() {
	for id, c := range l.claims {
		if c.expiry <= l.highest || l.highest-c.claimedAt >= l.limits.ClaimLifetime.Milliseconds() {
			l.dropClaim(id)
		}
	}
}
