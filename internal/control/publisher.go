package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/ring"
)

// publisherCapacity bounds the events that wait. A change makes every instance report once, so
// it exceeds the 400 instances of the design size several times over. Reports that find the ring
// full are lost and repeated later; questions are refused.
const publisherCapacity = 4096

// publisherEvent is one input of the publisher duty; exactly one field is set.
type publisherEvent struct {
	report    *report
	committed bool
	waiter    *waiter
	cancelled *waiter
	status    chan<- Status
}

// waiter is somebody who wants to know when a version is in force everywhere.
type waiter struct {
	version configuration.Version
	until   time.Time
	done    chan []string // receives the missing data centres once; has room for one
}

// publisher is the duty of a control replica that owns the list of subscribers and the table of
// versions in force. It never blocks: its messages go to the links' bounded rings.
type publisher struct {
	control *Control
	ring    *ring.Ring[publisherEvent]
	// missing is table.missing. Tests replace it to show that their checks notice a missing guard.
	missing func(t table, members []Member, centres []string, version configuration.Version) []string

	// Owned by the duty.
	table     table
	waiters   []*waiter
	announced configuration.Version
}

func newPublisher(c *Control) *publisher {
	return &publisher{
		control: c,
		ring:    ring.New[publisherEvent](publisherCapacity),
		missing: table.missing,
		table:   table{},
	}
}

// committed is called by the store with every new version. When the ring is full, the next tick
// finds the version in the store.
func (p *publisher) committed(configuration.Version, *configuration.Document) {
	p.offer(publisherEvent{committed: true})
}

func (p *publisher) reported(r report) { p.offer(publisherEvent{report: &r}) }

func (p *publisher) offer(event publisherEvent) bool {
	if p.ring.Offer(event) != nil {
		p.control.metrics.dropped.Inc()
		return false
	}
	return true
}

// wait returns the data centres where the version is not in force, as soon as there are none or
// when limit has passed.
func (p *publisher) wait(ctx context.Context, version configuration.Version, limit time.Duration) []string {
	// The duty answers when the limit has passed; the context only covers a duty that has stopped.
	ctx, cancel := context.WithTimeout(ctx, limit+2*p.control.options.Timing.AnnounceInterval)
	defer cancel()
	w := &waiter{version: version, until: time.Now().Add(limit), done: make(chan []string, 1)}
	if !p.offer(publisherEvent{waiter: w}) {
		return p.everywhere()
	}
	select {
	case missing := <-w.done:
		return missing
	case <-ctx.Done():
		p.offer(publisherEvent{cancelled: w})
		return p.everywhere()
	}
}

// everywhere returns all data centres: the answer when nothing is known.
func (p *publisher) everywhere() []string {
	centres := map[string]bool{}
	for _, centre := range p.control.centres {
		centres[centre] = true
	}
	for _, member := range p.control.options.Members() {
		centres[member.DataCentre] = true
	}
	return slices.Sorted(maps.Keys(centres))
}

func (p *publisher) members(now time.Time) []Member {
	return p.table.with(p.control.options.Members(), now, p.control.options.Timing.SubscriptionLease)
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
			p.answer(time.Now())
		case <-ticker.C:
			p.tick(time.Now())
		}
	}
}

func (p *publisher) handle(event publisherEvent) {
	switch {
	case event.report != nil:
		p.table.note(*event.report, time.Now(), p.control.options.Timing.SubscriptionLease)
	case event.committed:
		p.announceNew(time.Now())
	case event.waiter != nil:
		p.waiters = append(p.waiters, event.waiter)
	case event.cancelled != nil:
		p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool { return w == event.cancelled })
	case event.status != nil:
		event.status <- p.describe(time.Now())
	}
}

// tick repeats announcements to instances that lack a version somebody waits for: their
// subscription or report may have been lost with a replica.
func (p *publisher) tick(now time.Time) {
	p.announceNew(now)
	p.answer(now)
	p.table.forget(p.control.options.Members(), now, p.control.options.Timing.SubscriptionLease)
	if len(p.waiters) == 0 {
		return
	}
	newest, _ := p.control.store.Current()
	for _, name := range p.table.lacking(p.members(now), newest) {
		p.announce(name, newest)
	}
}

// announceNew tells the subscribers of a version that was not announced yet.
func (p *publisher) announceNew(now time.Time) {
	newest, _ := p.control.store.Current()
	if newest <= p.announced {
		return
	}
	p.announced = newest
	p.announce(p.control.options.Name, newest)
	subscribers := 0
	for name, known := range p.table {
		if now.Sub(known.subscribed) > p.control.options.Timing.SubscriptionLease {
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
		p.control.subscriber.announced(to, version)
		return
	}
	p.control.metrics.announcements.Inc()
	if err := p.control.options.Caller.Send(to, KindVersion, announcement{Version: version}); err != nil {
		p.control.metrics.dropped.Inc() // the next tick or renewal repeats it
	}
}

// answer tells the waiters whose version is in force everywhere or whose time is over.
func (p *publisher) answer(now time.Time) {
	if len(p.waiters) == 0 {
		return
	}
	members := p.members(now)
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
		missing := p.missing(p.table, members, p.control.centres, w.version)
		if len(missing) > 0 && now.Before(w.until) {
			return false
		}
		w.done <- missing
		return true
	})
}
