package scheduler

import "time"

// Action is an output of the scheduler.
type Action interface{ isAction() }

// Dispatch sends a request to an engine.
type Dispatch struct {
	ID     RequestID
	Engine string
}

// RejectReason is the reason why a request was rejected before dispatch.
type RejectReason string

// Reasons for a Reject.
const (
	RejectShed     RejectReason = "shed"     // the queue is full and this request was selected to be shed
	RejectFloor    RejectReason = "floor"    // another instance is shedding work of a higher tier
	RejectDeadline RejectReason = "deadline" // the deadline can no longer be met
	RejectNoEngine RejectReason = "no-engine"
	RejectRetries  RejectReason = "retry-budget"
	RejectUnknown  RejectReason = "unknown" // the current policy has no such service, workspace or tier
)

// Reject drops a waiting request. The caller is to be answered immediately.
type Reject struct {
	ID         RequestID
	Reason     RejectReason
	RetryAfter time.Duration
}

// Cancel makes an engine stop a request that was dispatched to it.
type Cancel struct {
	ID     RequestID
	Engine string
}

// PublishFloor asks the other instances to admit no work of a tier below Tier until Expires.
type PublishFloor struct {
	Tier    int
	Expires time.Time
}

func (Dispatch) isAction()     {}
func (Reject) isAction()       {}
func (Cancel) isAction()       {}
func (PublishFloor) isAction() {}
