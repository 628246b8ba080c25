package scheduler

import "time"

// Action is one output of the scheduler.
type Action interface{ isAction() }

// Dispatch sends a request to an engine.
type Dispatch struct {
	ID     RequestID
	Engine string
}

// RejectReason tells why a request was given up on before dispatch.
type RejectReason string

// Reasons for a Reject.
const (
	RejectShed     RejectReason = "shed"     // the queue is full and this request has the least claim to a place
	RejectFloor    RejectReason = "floor"    // another instance is shedding work of a higher tier
	RejectDeadline RejectReason = "deadline" // the deadline can no longer be met
	RejectNoEngine RejectReason = "no-engine"
	RejectRetries  RejectReason = "retry-budget"
	RejectUnknown  RejectReason = "unknown" // no such service, workspace or tier under the policy in force
)

// Reject gives up on a request of which no byte was sent. It is to be answered at once.
type Reject struct {
	ID         RequestID
	Reason     RejectReason
	RetryAfter time.Duration
}

// Cancel asks an engine to stop working on a request that was dispatched to it.
type Cancel struct {
	ID     RequestID
	Engine string
}

// PublishFloor tells the other instances that work below Tier is not to be admitted until Expires.
type PublishFloor struct {
	Tier    int
	Expires time.Time
}

func (Dispatch) isAction()     {}
func (Reject) isAction()       {}
func (Cancel) isAction()       {}
func (PublishFloor) isAction() {}
