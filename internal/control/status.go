package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
)

// Status is the view of one control replica.
type Status struct {
	Replica   string                `json:"replica" cbor:"replica"` // whose view this is
	Leader    string                `json:"leader,omitempty" cbor:"leader,omitempty"`
	Version   configuration.Version `json:"version" cbor:"version"` // newest applied there
	Instances []InstanceStatus      `json:"instances" cbor:"instances"`
	// NotInForce lists the data centres where Version is not in force.
	NotInForce []string `json:"notInForce,omitempty" cbor:"missing,omitempty"`
	// Unreachable lists the data centres without a live instance.
	Unreachable []string `json:"unreachable,omitempty" cbor:"unreachable,omitempty"`
	Waiting     int      `json:"waiting" cbor:"waiting"` // changes whose operators wait for an answer
	Events      int      `json:"events" cbor:"events"`   // in the duty's ring
}

// InstanceStatus is what a replica knows of one instance.
type InstanceStatus struct {
	Name       string                `json:"name" cbor:"name"`
	DataCentre string                `json:"dataCentre" cbor:"dataCentre"`
	Live       bool                  `json:"live" cbor:"live"`
	State      string                `json:"state,omitempty" cbor:"state,omitempty"`
	Version    configuration.Version `json:"version" cbor:"version"` // in force; 0 when not reported
	Subscribed bool                  `json:"subscribed" cbor:"subscribed"`
}

// StatusError reports that no control replica answered.
type StatusError struct{ Err error }

func (e *StatusError) Error() string { return fmt.Sprintf("control: no replica answered: %v", e.Err) }

func (e *StatusError) Unwrap() error { return e.Err }

// describe is called by the duty.
func (p *publisher) describe(now time.Time) Status {
	members := p.members(now)
	newest, _ := p.control.store.Current()
	status := Status{
		Replica:    p.control.options.Name,
		Version:    newest,
		NotInForce: p.missing(p.table, members, p.control.centres, newest),
		Waiting:    len(p.waiters),
		Events:     p.ring.Len(),
	}
	status.Leader, _ = p.control.replica.Leader()
	live := map[string]bool{}
	for _, centre := range p.control.centres {
		live[centre] = false
	}
	for _, member := range members {
		live[member.DataCentre] = live[member.DataCentre] || member.Live
		instance := InstanceStatus{Name: member.Name, DataCentre: member.DataCentre, Live: member.Live, State: member.State}
		if known, exists := p.table[member.Name]; exists {
			instance.Version = known.version
			instance.Subscribed = now.Sub(known.subscribed) <= p.control.options.Timing.SubscriptionLease
		}
		status.Instances = append(status.Instances, instance)
	}
	for centre, reachable := range live {
		if !reachable {
			status.Unreachable = append(status.Unreachable, centre)
		}
	}
	slices.Sort(status.Unreachable)
	slices.SortFunc(status.Instances, func(a, b InstanceStatus) int {
		if a.DataCentre != b.DataCentre {
			return compare(a.DataCentre, b.DataCentre)
		}
		return compare(a.Name, b.Name)
	})
	return status
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// status asks the duty for its view. Without an answer in time only the name is filled.
func (p *publisher) status(ctx context.Context) Status {
	reply := make(chan Status, 1)
	unknown := Status{Replica: p.control.options.Name}
	if !p.offer(publisherEvent{status: reply}) {
		return unknown
	}
	ctx, cancel := context.WithTimeout(ctx, p.control.options.Timing.CallTimeout)
	defer cancel()
	select {
	case status := <-reply:
		return status
	case <-ctx.Done():
		return unknown
	}
}

func (p *publisher) state() Status { return p.status(context.Background()) }

// Status returns the view of this instance's replica, or of the first other replica that answers.
// The leader is asked first. It returns *StatusError.
func (c *Control) Status(ctx context.Context) (Status, error) {
	var last error
	targets := c.targets()
	for _, target := range targets {
		if target == c.options.Name && c.publisher != nil {
			return c.publisher.status(ctx), nil
		}
		call, cancel := context.WithTimeout(ctx, c.options.Timing.CallTimeout)
		var reply statusReply
		err := c.options.Caller.Call(call, target, KindStatus, struct{}{}, &reply)
		cancel()
		if err == nil {
			return reply.Status, nil
		}
		last = err
	}
	return Status{}, &StatusError{Err: last}
}
