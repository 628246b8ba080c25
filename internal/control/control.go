// Package control carries changes of the configuration to the leader of the control replicas,
// distributes accepted versions to every instance and tracks where a version is in force.
//
// Two duties own its state: the subscriber of every instance owns the version in force there, and
// the publisher of a control replica owns the list of subscribers and what they report.
package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/link"
)

// Replica is the replica of the configuration log in this process, as far as this package uses it.
type Replica interface {
	// Propose returns the result of Store.Apply once the entry is committed and applied here.
	Propose(ctx context.Context, data []byte) (any, error)
	// Barrier returns once every entry committed before the call is applied here and leadership
	// was confirmed by a quorum.
	Barrier(ctx context.Context) error
	Leader() (instance string, known bool)
}

// Member is one instance that the membership knows and that has not left.
type Member struct {
	Name       string
	DataCentre string
	Live       bool   // alive or suspected: it has to have a version before the version counts as in force
	State      string // for status only, for example "suspected"
}

// Peer is a control replica named in the settings.
type Peer struct {
	Name       string
	DataCentre string
}

// Options configures a Control.
type Options struct {
	Name       string
	DataCentre string
	Replicas   []Peer // all control replicas, with this instance if it is one
	// DataCentres are all data centres with instances, as far as the settings name them. They and
	// those of the replicas count even while no instance there is known.
	DataCentres []string
	Caller      link.Caller
	// Members returns all instances that have not left, with this one. An instance that is leaving
	// or left lately is returned with Live false, since it may have reported a moment ago. Called
	// from several goroutines.
	Members func() []Member
	// Neighbours returns the reachable instances of the own data centre, without this one.
	Neighbours func() []string
	// Directory holds the last version; empty on an instance without a data folder.
	Directory string
	// OnVersion puts a version in force. The version counts as in force when it returns. It is
	// called by one goroutine, with growing versions.
	OnVersion func(configuration.Version, *configuration.Document)
	// NotLeader tells whether an error of Replica.Propose or Barrier means that nothing was
	// proposed because this replica does not lead, and who does if that is known.
	NotLeader func(error) (leader string, yes bool)
	Logger    zerolog.Logger
	Timing    Timing // zero fields mean the defaults
}

// Timing holds the intervals and bounds of time; DefaultTiming states them.
type Timing struct {
	RenewInterval     time.Duration // between two renewals of a subscription
	RetryInterval     time.Duration // between two attempts to subscribe, or to get a first version
	SubscriptionLease time.Duration // after which a subscription that is not renewed ends
	AnnounceInterval  time.Duration // between two announcements to instances that lack a version somebody waits for
	CallTimeout       time.Duration // bound on one renewal or probe
	FetchTimeout      time.Duration // bound on one fetch
	ProposeTimeout    time.Duration // bound on a proposal at the leader
	InForceTimeout    time.Duration // from the commit to the answer
	AttemptTimeout    time.Duration // bound on one call of control.submit
	SubmitTimeout     time.Duration // bound on Submit with all its retries
	OutcomeTimeout    time.Duration // bound on Outcome with all its retries
	RetryDelay        time.Duration // between two attempts
}

// DefaultTiming is used for every field that is zero.
var DefaultTiming = Timing{
	RenewInterval:     2 * time.Second,
	RetryInterval:     500 * time.Millisecond,
	SubscriptionLease: 7 * time.Second, // three renewals may be lost
	AnnounceInterval:  500 * time.Millisecond,
	CallTimeout:       time.Second,
	FetchTimeout:      3 * time.Second, // a document of 2 MiB at 6 Mbit/s
	ProposeTimeout:    2 * time.Second, // the longest time without a leader after a crash
	InForceTimeout:    5 * time.Second, // the requirement for "in force in every data centre"
	AttemptTimeout:    7500 * time.Millisecond,
	SubmitTimeout:     15 * time.Second, // two attempts at the longest
	OutcomeTimeout:    5 * time.Second,
	RetryDelay:        50 * time.Millisecond,
}

// OptionError reports an option that is missing.
type OptionError struct{ Option string }

func (e *OptionError) Error() string { return fmt.Sprintf("control: option %s is missing", e.Option) }

// Control is the part of one instance that deals with versions of the configuration.
type Control struct {
	options    Options
	centres    []string             // known from the settings, sorted
	store      *configuration.Store // nil without the control role
	replica    Replica              // set by Attach before Run
	publisher  *publisher           // nil without the control role
	subscriber *subscriber
	payloads   versionCache[[]byte] // for replies with the whole document and for the file
	digests    versionCache[uint64] // for replies with edits
	metrics    *counters
	submitting chan struct{} // bounds the submissions that this leader handles at a time

	mu     sync.Mutex
	leader string // last known leader; a hint
}

// maxSubmissions bounds the changes that wait at the leader; each holds an encoded document.
const maxSubmissions = 64

// New returns a Control. It returns *OptionError.
func New(o Options) (*Control, error) {
	for name, missing := range map[string]bool{
		"Name":       o.Name == "",
		"DataCentre": o.DataCentre == "",
		"Replicas":   len(o.Replicas) == 0,
		"Caller":     o.Caller == nil,
		"Members":    o.Members == nil,
		"Neighbours": o.Neighbours == nil,
		"OnVersion":  o.OnVersion == nil,
		"NotLeader":  o.NotLeader == nil,
	} {
		if missing {
			return nil, &OptionError{Option: name}
		}
	}
	o.Timing = o.Timing.withDefaults()
	c := &Control{options: o, metrics: newCounters(o.Name), submitting: make(chan struct{}, maxSubmissions)}
	c.centres = append([]string{o.DataCentre}, o.DataCentres...)
	for _, peer := range o.Replicas {
		c.centres = append(c.centres, peer.DataCentre)
	}
	slices.Sort(c.centres)
	c.centres = slices.Compact(c.centres)
	c.payloads.compute = encodePayload
	c.digests.compute = digestOf
	c.subscriber = newSubscriber(c)
	for _, peer := range o.Replicas {
		if peer.Name == o.Name {
			c.publisher = newPublisher(c)
			c.store = configuration.NewStore(configuration.StoreOptions{OnVersion: c.publisher.committed})
		}
	}
	return c, nil
}

// Store returns the state machine for the replica of this instance, or nil without the control role.
func (c *Control) Store() *configuration.Store { return c.store }

// Attach sets the replica that drives Store. It has to be called before Run on an instance with
// the control role.
func (c *Control) Attach(r Replica) { c.replica = r }

// Run runs the duties until ctx ends. It returns *OptionError when a replica is needed and missing.
func (c *Control) Run(ctx context.Context) error {
	if c.publisher != nil && c.replica == nil {
		return &OptionError{Option: "Attach"}
	}
	var duties sync.WaitGroup
	if c.publisher != nil {
		duties.Go(func() { c.publisher.run(ctx) })
	}
	duties.Go(func() { c.subscriber.run(ctx) })
	duties.Wait()
	return nil
}

// Version returns the version in force at this instance; 0 means none, and then the instance is not ready.
func (c *Control) Version() configuration.Version { return c.subscriber.version() }

// Current returns the version in force at this instance and its document, which must not be changed.
func (c *Control) Current() (configuration.Version, *configuration.Document) {
	return c.subscriber.inForce()
}

// UnreachableSince returns since when no control replica with a leader is reachable; ok is false when one is.
func (c *Control) UnreachableSince() (since time.Time, ok bool) {
	state := c.subscriber.state()
	if state.UnreachableSince == nil {
		return time.Time{}, false
	}
	return *state.UnreachableSince, true
}

// State returns the state of the duties for a dump, by duty.
func (c *Control) State() map[string]any {
	state := map[string]any{"control.subscriber": c.subscriber.state()}
	if c.publisher != nil {
		state["control.publisher"] = c.publisher.state()
	}
	return state
}

func (t Timing) withDefaults() Timing {
	for _, field := range []struct{ value, fallback *time.Duration }{
		{&t.RenewInterval, &DefaultTiming.RenewInterval},
		{&t.RetryInterval, &DefaultTiming.RetryInterval},
		{&t.SubscriptionLease, &DefaultTiming.SubscriptionLease},
		{&t.AnnounceInterval, &DefaultTiming.AnnounceInterval},
		{&t.CallTimeout, &DefaultTiming.CallTimeout},
		{&t.FetchTimeout, &DefaultTiming.FetchTimeout},
		{&t.ProposeTimeout, &DefaultTiming.ProposeTimeout},
		{&t.InForceTimeout, &DefaultTiming.InForceTimeout},
		{&t.AttemptTimeout, &DefaultTiming.AttemptTimeout},
		{&t.SubmitTimeout, &DefaultTiming.SubmitTimeout},
		{&t.OutcomeTimeout, &DefaultTiming.OutcomeTimeout},
		{&t.RetryDelay, &DefaultTiming.RetryDelay},
	} {
		if *field.value <= 0 {
			*field.value = *field.fallback
		}
	}
	return t
}
