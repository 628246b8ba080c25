package engine

// Lifecycle tracks the incarnations of one engine. Leaving is final for an incarnation: an outdated
// engine list that still contains it does not make it available again.
type Lifecycle struct {
	Incarnation uint64 `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	Unreachable bool   `json:"unreachable"`
	known       bool   // at least one incarnation was reported
}

// Observe records a report on an incarnation and returns whether the engine has restarted. Reports on
// earlier incarnations are ignored.
func (l *Lifecycle) Observe(incarnation uint64, leaving, reachable bool) (restarted bool) {
	if l.known && incarnation < l.Incarnation {
		return false
	}
	restarted = l.known && incarnation > l.Incarnation
	if restarted {
		l.Leaving = false
	}
	l.known = true
	l.Incarnation = incarnation
	l.Leaving = l.Leaving || leaving
	l.Unreachable = !reachable
	return restarted
}

// Accepts reports whether the engine may be given new work.
func (l *Lifecycle) Accepts() bool { return !l.Leaving && !l.Unreachable }
