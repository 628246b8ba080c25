package rollout

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Command is a command of the replicated log. Exactly one field is set.
type Command struct {
	Order    *Order    `cbor:"1,keyasint,omitempty"`
	Decision *Decision `cbor:"2,keyasint,omitempty"`
}

// Decision changes the state of the order with this number.
type Decision struct {
	Service string   `cbor:"1,keyasint"`
	Number  uint64   `cbor:"2,keyasint"`
	State   State    `cbor:"3,keyasint"`
	Former  []string `cbor:"4,keyasint,omitempty"` // see Rollout
	Reason  string   `cbor:"5,keyasint,omitempty"`
}

// Outcome is what a command did.
type Outcome uint8

// Outcomes of a command.
const (
	OutcomeStored     Outcome = iota + 1
	OutcomeKnown              // the order was stored before; nothing changed
	OutcomeInProgress         // another order for the service is in progress; nothing changed
	OutcomeTooMany            // MaxRollouts orders are in progress; nothing changed
	OutcomeIgnored            // the decision is about a former order or state; nothing changed
)

// Result is the outcome of a command, with the order that the service has now.
type Result struct {
	Outcome Outcome
	Rollout Rollout
}

const (
	// MaxRollouts bounds the services whose orders are kept.
	MaxRollouts = 256
	// ResendWindow is the time from an order within which the same order is the same one, although it has been rolled
	// back meanwhile. Operators resend for 5 s; the rest is for wall clocks of leaders that differ.
	ResendWindow = 10 * time.Second
)

// Register holds the last order of each service. Apply and Restore must be called by one goroutine; the other methods
// may be called by any.
type Register struct {
	mu       sync.Mutex
	rollouts map[string]Rollout // keyed by service
	onChange func()
}

// NewRegister returns an empty register. onChange is called after each change and must not block; it may be nil.
func NewRegister(onChange func()) *Register {
	return &Register{rollouts: map[string]Rollout{}, onChange: onChange}
}

// Apply executes the command at an index of the log. The result depends on the earlier commands alone.
func (g *Register) Apply(index uint64, c Command) Result {
	g.mu.Lock()
	result := Result{Outcome: OutcomeIgnored}
	switch {
	case c.Order != nil:
		result = g.order(index, c.Order)
	case c.Decision != nil:
		result = g.decide(c.Decision)
	}
	g.mu.Unlock()
	if result.Outcome == OutcomeStored && g.onChange != nil {
		g.onChange()
	}
	return result
}

func (g *Register) order(index uint64, o *Order) Result {
	current, known := g.rollouts[o.Service]
	if known {
		same := current.Target == o.Target && current.DurationMS == o.DurationMS
		age := time.Duration(o.OrderedAtMS-current.OrderedAtMS) * time.Millisecond
		switch {
		case same && current.State.InProgress(), current.Target == o.Target && current.State == StateCompleted,
			same && age.Abs() < ResendWindow:
			return Result{OutcomeKnown, current}
		case current.State.InProgress():
			return Result{OutcomeInProgress, current}
		}
	} else if len(g.rollouts) >= MaxRollouts && !g.dropOldest() {
		return Result{Outcome: OutcomeTooMany}
	}
	stored := Rollout{
		Service: o.Service, Target: o.Target, Number: index, OrderedAtMS: o.OrderedAtMS, DurationMS: o.DurationMS, State: StateActive,
	}
	g.rollouts[o.Service] = stored
	return Result{OutcomeStored, stored}
}

// dropOldest removes the oldest order that is not in progress and reports whether there was one.
func (g *Register) dropOldest() bool {
	oldest := ""
	for service, r := range g.rollouts {
		if !r.State.InProgress() && (oldest == "" || r.Number < g.rollouts[oldest].Number) {
			oldest = service
		}
	}
	delete(g.rollouts, oldest)
	return oldest != ""
}

func (g *Register) decide(d *Decision) Result {
	current, known := g.rollouts[d.Service]
	if !known || current.Number != d.Number || !current.State.InProgress() || d.State <= current.State || d.State > StateRolledBack {
		return Result{OutcomeIgnored, current}
	}
	current.State, current.Reason = d.State, d.Reason
	if len(d.Former) > 0 {
		current.Former = d.Former
	}
	g.rollouts[d.Service] = current
	return Result{OutcomeStored, current}
}

// List returns the last orders of all services, sorted by service.
func (g *Register) List() []Rollout {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.SortedFunc(maps.Values(g.rollouts), func(a, b Rollout) int { return cmp.Compare(a.Service, b.Service) })
}

// Restore replaces all orders by those of a snapshot, which is never older than what was applied before it.
func (g *Register) Restore(list []Rollout) {
	g.mu.Lock()
	g.rollouts = make(map[string]Rollout, len(list))
	for _, r := range list {
		g.rollouts[r.Service] = r
	}
	g.mu.Unlock()
	if g.onChange != nil {
		g.onChange()
	}
}

// Merge adds what another register holds and this one does not, or not yet, and reports whether there was any.
func (g *Register) Merge(list []Rollout) bool {
	g.mu.Lock()
	changed := false
	for i := range list {
		current, known := g.rollouts[list[i].Service]
		if !known || list[i].Supersedes(&current) {
			g.rollouts[list[i].Service] = list[i]
			changed = true
		}
	}
	for len(g.rollouts) > MaxRollouts && g.dropOldest() {
	}
	g.mu.Unlock()
	if changed && g.onChange != nil {
		g.onChange()
	}
	return changed
}
