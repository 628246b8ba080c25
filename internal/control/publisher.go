package control

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/ring"
)

// publisherQueueCapacity limits the queued events. Every change makes each instance report once, so the
// capacity exceeds the 400 instances of the design size several times over. Reports that find the queue
// full are lost and repeated later; waits and status requests then return at once, without information.
const publisherQueueCapacity = 4096

// publisherEvent is one input of the publisher; exactly one field is set.
type publisherEvent struct {
	report    *versionReport
	committed bool
	waiter    *inForceWaiter
	cancelled *inForceWaiter
	status    chan<- Status
}

// inForceWaiter is a caller that waits until a version is in force everywhere or a deadline has passed.
type inForceWaiter struct {
	version  configuration.Version
	deadline time.Time
	done     chan []string // buffered for one value: the data centres that lack the version
}

// publisher is the worker of a control replica that owns the table of the subscribers and of the versions
// in force. It never blocks: the links queue its messages in bounded rings.
type publisher struct {
	control *Control
	ring    *ring.Ring[publisherEvent]
	// missing is versionTable.missing. Tests replace it to show that they detect a missing check.
	missing func(t versionTable, members []Member, dataCentres []string, version configuration.Version) []string

	// The fields below are owned by the worker.
	table         versionTable
	waiters       []*inForceWaiter
	lastAnnounced configuration.Version

	lastStatus atomic.Pointer[Status] // result of the last status request
}

func newPublisher(c *Control) *publisher {
	return &publisher{
		control: c,
		ring:    ring.New[publisherEvent](publisherQueueCapacity),
		missing: versionTable.missing,
		table:   versionTable{},
	}
}

// enqueueCommitted is called by the store with every new version. If the queue is full, the next tick
// finds the version in the store.
func (p *publisher) enqueueCommitted(configuration.Version, *configuration.Document) {
	p.enqueue(publisherEvent{committed: true})
}

func (p *publisher) enqueueReport(r versionReport) { p.enqueue(publisherEvent{report: &r}) }

func (p *publisher) enqueue(event publisherEvent) bool {
	if p.ring.Offer(event) != nil {
		p.control.metrics.droppedEvents.Inc()
		return false
	}
	return true
}

// waitInForce waits until the version is in force everywhere or limit has passed, and returns the data
// centres where it is not in force.
func (p *publisher) waitInForce(ctx context.Context, version configuration.Version, limit time.Duration) []string {
	// The worker replies when the limit has passed; the timeout only covers a worker that has stopped.
	ctx, cancel := context.WithTimeout(ctx, limit+2*p.control.options.Timing.AnnounceInterval)
	defer cancel()
	w := &inForceWaiter{version: version, deadline: time.Now().Add(limit), done: make(chan []string, 1)}
	if !p.enqueue(publisherEvent{waiter: w}) {
		return p.allDataCentres()
	}
	select {
	case missing := <-w.done:
		return missing
	case <-ctx.Done():
		p.enqueue(publisherEvent{cancelled: w})
		return p.allDataCentres()
	}
}

// allDataCentres returns all known data centres: the result of a wait when nothing is known about a
// version.
func (p *publisher) allDataCentres() []string {
	dataCentres := map[string]bool{}
	for _, dataCentre := range p.control.dataCentres {
		dataCentres[dataCentre] = true
	}
	for _, member := range p.control.options.Members() {
		dataCentres[member.DataCentre] = true
	}
	return slices.Sorted(maps.Keys(dataCentres))
}

// members returns the members, including instances that reported recently; see versionTable.withReporting.
func (p *publisher) members(now time.Time) []Member {
	return p.table.withReporting(p.control.options.Members(), now, p.control.options.Timing.SubscriptionLease)
}

func (p *publisher) run(ctx context.Context) {
	ticker := time.NewTicker(p.control.options.Timing.AnnounceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.ring.Ready():
			for event, ok := p.ring.TryTake(); ok; event, ok = p.ring.TryTake() {
				p.handle(event)
			}
			p.notifyWaiters(time.Now())
		case <-ticker.C:
			p.tick(time.Now())
		}
	}
}

func (p *publisher) handle(event publisherEvent) {
	switch {
	case event.report != nil:
		p.table.update(*event.report, time.Now(), p.control.options.Timing.SubscriptionLease)
	case event.committed:
		p.announceNewest(time.Now())
	case event.waiter != nil:
		p.waiters = append(p.waiters, event.waiter)
	case event.cancelled != nil:
		p.waiters = slices.DeleteFunc(p.waiters, func(w *inForceWaiter) bool { return w == event.cancelled })
	case event.status != nil:
		event.status <- p.buildStatus(time.Now())
	}
}

// tick repeats announcements to instances that lack a version for which a caller waits, since their
// subscription or report may have been lost with a replica.
func (p *publisher) tick(now time.Time) {
	p.announceNewest(now)
	p.notifyWaiters(now)
	p.table.prune(p.control.options.Members(), now, p.control.options.Timing.SubscriptionLease)
	if len(p.waiters) == 0 {
		return
	}
	newest, _ := p.control.store.Current()
	for _, name := range p.table.lagging(p.members(now), newest) {
		p.announce(name, newest)
	}
}

// announceNewest announces the newest version to the subscribers unless that has been done.
func (p *publisher) announceNewest(now time.Time) {
	newest, _ := p.control.store.Current()
	if newest <= p.lastAnnounced {
		return
	}
	p.lastAnnounced = newest
	p.announce(p.control.options.Name, newest)
	subscribers := 0
	for name, known := range p.table {
		if now.Sub(known.subscribedAt) > p.control.options.Timing.SubscriptionLease {
			continue
		}
		subscribers++
		if name != p.control.options.Name && known.version < newest {
			p.announce(name, newest)
		}
	}
	p.control.metrics.subscribers.Set(float64(subscribers))
}

func (p *publisher) announce(to string, version configuration.Version) {
	if to == p.control.options.Name {
		p.control.subscriber.enqueueAnnouncement(to, version)
		return
	}
	p.control.metrics.announcements.Inc()
	if err := p.control.options.Caller.Send(to, KindVersion, announcement{Version: version}); err != nil {
		p.control.metrics.droppedEvents.Inc() // the next tick or renewal repeats it
	}
}

// notifyWaiters replies to the waiters whose version is in force everywhere or whose deadline has passed.
func (p *publisher) notifyWaiters(now time.Time) {
	if len(p.waiters) == 0 {
		return
	}
	members := p.members(now)
	p.waiters = slices.DeleteFunc(p.waiters, func(w *inForceWaiter) bool {
		missing := p.missing(p.table, members, p.control.dataCentres, w.version)
		if len(missing) > 0 && now.Before(w.deadline) {
			return false
		}
		w.done <- missing
		return true
	})
}
