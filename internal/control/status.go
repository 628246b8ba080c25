package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
)

// Status is the state of the configuration as one control replica knows it.
type Status struct {
	Replica   string                `json:"replica" cbor:"replica"` // control replica that reports this status
	Leader    string                `json:"leader,omitempty" cbor:"leader,omitempty"`
	Version   configuration.Version `json:"version" cbor:"version"` // newest version applied at the replica
	Instances []InstanceStatus      `json:"instances" cbor:"instances"`
	// NotInForce lists the data centres where Version is not in force.
	NotInForce []string `json:"notInForce,omitempty" cbor:"missing,omitempty"`
	// Unreachable lists the data centres without a live instance.
	Unreachable []string `json:"unreachable,omitempty" cbor:"unreachable,omitempty"`
	Waiting     int      `json:"waiting" cbor:"waiting"` // number of waiting submissions and queries
	Events      int      `json:"events" cbor:"events"`   // number of events queued for the publisher
}

// InstanceStatus is the state of one instance as a control replica knows it.
type InstanceStatus struct {
	Name       string                `json:"name" cbor:"name"`
	DataCentre string                `json:"dataCentre" cbor:"dataCentre"`
	Live       bool                  `json:"live" cbor:"live"`
	State      string                `json:"state,omitempty" cbor:"state,omitempty"`
	Version    configuration.Version `json:"version" cbor:"version"` // last reported version; 0 if none
	Subscribed bool                  `json:"subscribed" cbor:"subscribed"`
}

// StatusError reports that no control replica replied. Err is the error of the last one asked.
type StatusError struct{ Err error }

func (e *StatusError) Error() string {
	return fmt.Sprintf("control: no control replica replied: %v", e.Err)
}

func (e *StatusError) Unwrap() error { return e.Err }

// buildStatus returns the current status. It is called by the worker only.
func (p *publisher) buildStatus(now time.Time) Status {
	members := p.members(now)
	newest, _ := p.control.store.Current()
	status := Status{
		Replica:    p.control.options.Name,
		Version:    newest,
		NotInForce: p.missing(p.table, members, p.control.dataCentres, newest),
		Waiting:    len(p.waiters),
		Events:     p.ring.Len(),
	}
	status.Leader, _ = p.control.replica.Leader()
	live := map[string]bool{}
	for _, dataCentre := range p.control.dataCentres {
		live[dataCentre] = false
	}
	for _, member := range members {
		live[member.DataCentre] = live[member.DataCentre] || member.Live
		instance := InstanceStatus{Name: member.Name, DataCentre: member.DataCentre, Live: member.Live, State: member.State}
		if known, exists := p.table[member.Name]; exists {
			instance.Version = known.version
			instance.Subscribed = now.Sub(known.subscribedAt) <= p.control.options.Timing.SubscriptionLease
		}
		status.Instances = append(status.Instances, instance)
	}
	for dataCentre, reachable := range live {
		if !reachable {
			status.Unreachable = append(status.Unreachable, dataCentre)
		}
	}
	slices.Sort(status.Unreachable)
	slices.SortFunc(status.Instances, func(a, b InstanceStatus) int {
		if a.DataCentre != b.DataCentre {
			return compareStrings(a.DataCentre, b.DataCentre)
		}
		return compareStrings(a.Name, b.Name)
	})
	return status
}

// compareStrings orders two different strings.
func compareStrings(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// status requests the status from the worker. If the worker's queue is full or it does not reply in time, the
// status of the last request is returned, or only the name of the replica if there was none.
func (p *publisher) status(ctx context.Context) Status {
	reply := make(chan Status, 1)
	if !p.enqueue(publisherEvent{status: reply}) {
		return p.staleStatus()
	}
	ctx, cancel := context.WithTimeout(ctx, p.control.options.Timing.CallTimeout)
	defer cancel()
	select {
	case status := <-reply:
		p.lastStatus.Store(&status)
		return status
	case <-ctx.Done():
		return p.staleStatus()
	}
}

func (p *publisher) staleStatus() Status {
	if last := p.lastStatus.Load(); last != nil {
		return *last
	}
	return Status{Replica: p.control.options.Name}
}

func (p *publisher) state() Status { return p.status(context.Background()) }

// Status returns the status of this instance's replica, or of the first other replica that replies.
// Replicas are tried in the order of targets, which begins with the leader. It returns *StatusError.
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
