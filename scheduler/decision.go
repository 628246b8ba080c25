package scheduler

import "time"

// DecisionKind identifies the Action that a Decision represents.
type DecisionKind int

// Kinds of decisions.
const (
	DecideDispatch DecisionKind = iota
	DecideReject
	DecideCancel
	DecideFloor
)

// Decision is an Action as a plain struct.
type Decision struct {
	Kind       DecisionKind
	ID         RequestID
	Engine     string        // for Dispatch and Cancel
	Reason     RejectReason  // for Reject
	RetryAfter time.Duration // for Reject
	Tier       int           // for PublishFloor
	Expires    time.Time     // for PublishFloor
}

// Action returns the decision as an Action.
func (d Decision) Action() Action {
	switch d.Kind {
	case DecideDispatch:
		return Dispatch{ID: d.ID, Engine: d.Engine}
	case DecideReject:
		return Reject{ID: d.ID, Reason: d.Reason, RetryAfter: d.RetryAfter}
	case DecideCancel:
		return Cancel{ID: d.ID, Engine: d.Engine}
	default:
		return PublishFloor{Tier: d.Tier, Expires: d.Expires}
	}
}

func (s *Scheduler) decide(d Decision) { s.decisions = append(s.decisions, d) }
