package exchange

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/membership"
	"github.com/primrosebeam/primrosebeam/ring"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

// Defaults and intervals.
const (
	DefaultRingCapacity        = 4096
	DefaultBytesPerSecond      = 4 << 10 // of the 30 KB/s that an instance may use in both directions together
	DefaultCacheBytesPerSecond = 4 << 10
	DefaultPollersPerEngine    = 2

	SummaryInterval = 250 * time.Millisecond
	refreshEvery    = 10 * time.Second // a full summary, in case a change was lost
	// cacheBurst is how many seconds' bytes cache events may save up, since engines send them in bursts.
	cacheBurst  = 4
	forgetAfter = 25 * time.Second // a peer's summary, when none follows: two refreshes were lost
)

// Options configures an Exchange. Name, DataCentre, Incarnation, Caller and Deliver are required.
type Options struct {
	Name        string
	DataCentre  string
	Incarnation uint64
	Roles       []string
	Seeds       []membership.Hint // the peers of the settings

	Caller link.Caller
	// Deliver takes PeerSummary, PeerFloor, LoadReport, CacheEvents and EngineState. It runs on the duty's
	// goroutine and must not block.
	Deliver func(scheduler.Event)
	// OnEvent takes the membership's events, also on the duty's goroutine; nil is allowed. On Resumed, the
	// owner of each lease has to check it before it acts.
	OnEvent func(membership.Event)

	RingCapacity        int
	BytesPerSecond      int // of summaries and reports sent
	CacheBytesPerSecond int // of cache events sent, so that they never hold up summaries
	PollersPerEngine    int // instances per engine
	Clock               func() time.Time
	Logger              zerolog.Logger
	Metrics             *metrics.Set
}

// Exchange is the duty. Its methods other than Run are safe for concurrent use and never block.
//
// When its ring is full, what arrives is dropped and counted: every message is either repeated by its
// sender or superseded by a later one. Publish methods return *ring.FullError then.
type Exchange struct {
	o       Options
	metrics *exchangeMetrics
	inputs  *ring.Ring[input]
	version atomic.Uint64
	view    atomic.Pointer[view]
	state   atomic.Pointer[State]

	// The rest belongs to the duty's goroutine.
	core        *membership.Membership
	now         time.Time
	nextRound   time.Time
	bytesLeft   int
	number      uint64 // of messages of this origin that are passed on
	seen        map[string]*window
	own         map[string]engineLoad
	peers       map[string]*peerSummary // received
	partners    map[string]*partner     // sent
	names       []string                // of partners
	nextPartner int                     // where the bytes of the last round ended
	meshed      bool                    // all reachable instances are partners: nothing but floors need be passed on
	reports     map[string]*engineReport
	engines     []string // keys of reports, sorted
	floors      []activeFloor
	streams     map[string]*cacheStream // by engine
	cacheLeft   int                     // bytes of the current round
	applied     uint64                  // version handed to the core
	left        bool
}

// input is one item of the ring: a received message or a request of this process.
type input struct {
	from    link.Sender
	message any
}

// New returns a duty that is not running yet. It returns *OptionsError.
func New(o Options) (*Exchange, error) {
	switch {
	case o.Caller == nil:
		return nil, &OptionsError{Option: "Caller"}
	case o.Deliver == nil:
		return nil, &OptionsError{Option: "Deliver"}
	}
	setDefault(&o.RingCapacity, DefaultRingCapacity)
	setDefault(&o.BytesPerSecond, DefaultBytesPerSecond)
	setDefault(&o.CacheBytesPerSecond, DefaultCacheBytesPerSecond)
	setDefault(&o.PollersPerEngine, DefaultPollersPerEngine)
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.OnEvent == nil {
		o.OnEvent = func(membership.Event) {}
	}
	now := o.Clock()
	core, err := membership.New(now, membership.Options{
		Name: o.Name, DataCentre: o.DataCentre, Incarnation: o.Incarnation, Roles: o.Roles, Seeds: o.Seeds,
	})
	if err != nil {
		return nil, err
	}
	e := &Exchange{
		o:         o,
		metrics:   newExchangeMetrics(o.Metrics),
		inputs:    ring.New[input](o.RingCapacity),
		core:      core,
		now:       now,
		nextRound: now,
		seen:      map[string]*window{},
		own:       map[string]engineLoad{},
		peers:     map[string]*peerSummary{},
		partners:  map[string]*partner{},
		reports:   map[string]*engineReport{},
		streams:   map[string]*cacheStream{},
		cacheLeft: cacheBurst * o.CacheBytesPerSecond,
	}
	e.refreshView()
	e.dump()
	return e, nil
}

func setDefault(v *int, d int) {
	if *v <= 0 {
		*v = d
	}
}

// Register registers the handlers with a node, before the node runs: e.Register(node.Handle).
func (e *Exchange) Register(handle func(kind link.Kind, h link.Handler)) {
	handle(KindHeartbeat, receive[membership.Heartbeat](e))
	handle(KindSummary, receive[summary](e))
	handle(KindFloor, receive[floor](e))
	handle(KindLeaving, receive[leaving](e))
	handle(KindReports, receive[reports](e))
	handle(KindCache, receive[cache](e))
}

// receive decodes outside the duty's goroutine.
func receive[T any](e *Exchange) link.Handler {
	return func(_ context.Context, from link.Sender, body []byte) (any, error) {
		var message T
		if err := link.Decode(body, &message); err != nil {
			e.metrics.undecodable.Inc()
			e.o.Logger.Warn().Str("peer", from.Name).Err(err).Msg("message of the exchange refused")
			return nil, err
		}
		return nil, e.offer(input{from: from, message: message})
	}
}

func (e *Exchange) offer(i input) error {
	err := e.inputs.Offer(i)
	if err != nil {
		e.metrics.full.Inc()
	}
	return err
}

// Run works until ctx ends. Then it announces the leave, unless Leave was called before, and returns. The
// node must be closed after it, so that the notice can still leave.
func (e *Exchange) Run(ctx context.Context) error {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.begin()
			e.leave()
			return nil
		case <-ticker.C:
			e.drain()
			e.tick()
		case <-e.inputs.Ready():
			e.drain()
		}
	}
}

func (e *Exchange) begin() { e.now = e.o.Clock() }

func (e *Exchange) drain() {
	for n := e.inputs.Len(); n > 0; n-- {
		i, ok := e.inputs.TryTake()
		if !ok {
			return
		}
		e.begin()
		e.take(i)
	}
}

// tick is due every membership.TickInterval.
func (e *Exchange) tick() {
	e.begin()
	if v := e.version.Load(); v > e.applied {
		e.applied = v
		e.apply(e.core.SetVersion(e.now, v))
		e.refreshView()
	}
	e.apply(e.core.Tick(e.now))
	if e.now.Before(e.nextRound) {
		return
	}
	e.nextRound = e.now.Add(SummaryInterval)
	// What was spent in advance on a full summary is paid back.
	share := e.o.BytesPerSecond * int(SummaryInterval) / int(time.Second)
	e.bytesLeft = min(share, e.bytesLeft+share)
	share = e.o.CacheBytesPerSecond * int(SummaryInterval) / int(time.Second)
	e.cacheLeft = min(cacheBurst*e.o.CacheBytesPerSecond, e.cacheLeft+share)
	e.round()
	e.dump()
}

func (e *Exchange) take(i input) {
	switch m := i.message.(type) {
	case membership.Heartbeat:
		source := membership.Source{Name: i.from.Name, DataCentre: i.from.DataCentre, Incarnation: i.from.Incarnation}
		e.apply(e.core.Receive(e.now, source, m))
	case summary:
		e.takeSummary(i.from, m)
	case floor:
		e.takeFloor(i.from.Name, m)
	case leaving:
		for _, n := range m.Engines {
			e.apply(e.core.AnnounceEngineLeaving(e.now, n.Engine, n.Incarnation))
		}
	case reports:
		for _, r := range m.Reports {
			e.takeReport(i.from.Name, r)
		}
	case cache:
		e.takeCache(i.from.Name, m)
	case ownSummary:
		e.own = m.loads
	case scheduler.PublishFloor:
		e.publishFloor(m)
	case scheduler.LoadReport:
		e.publishReport(m)
	case scheduler.CacheEvents:
		e.publishCache(m)
	case membership.EngineNotice:
		e.publishLeaving(m)
	case []membership.Hint:
		e.apply(e.core.ApplyHints(e.now, m))
	case leave:
		e.leave()
	}
}

// apply carries out what the core asks for.
func (e *Exchange) apply(out membership.Output) {
	for _, m := range out.Messages {
		e.send(m.To, KindHeartbeat, m.Heartbeat)
	}
	for _, event := range out.Events {
		e.react(event)
	}
	if len(out.Events) > 0 {
		e.refreshView()
	}
}

func (e *Exchange) react(event membership.Event) {
	switch event := event.(type) {
	case membership.EngineLeaving:
		e.o.Logger.Info().Str("engine", event.Engine).Uint64("incarnation", event.Incarnation).Msg("engine is leaving")
		e.o.Deliver(scheduler.EngineState{Engine: event.Engine, Incarnation: event.Incarnation, Leaving: true, Reachable: true})
	case membership.InstanceChanged:
		e.o.Logger.Debug().Str("instance", event.Instance.Name).Stringer("state", event.Instance.State).Msg("instance changed")
		if event.Instance.State == membership.StateFailed {
			e.forgetPeer(event.Instance.Name)
		}
	case membership.Resumed:
		e.metrics.resumed.Inc()
		e.o.Logger.Warn().Dur("late", time.Duration(event.LateNanoseconds)).Msg("this process stood still")
	case membership.Superseded:
		e.o.Logger.Error().Uint64("incarnation", event.Incarnation).Msg("a newer incarnation of this instance is running")
	}
	e.o.OnEvent(event)
}

// send drops what does not fit: everything that is sent is repeated or superseded.
func (e *Exchange) send(to string, kind link.Kind, body any) bool {
	err := e.o.Caller.Send(to, kind, body)
	if err == nil {
		e.metrics.sent.Inc()
		return true
	}
	e.metrics.dropped.Inc()
	e.o.Logger.Debug().Str("peer", to).Str("kind", string(kind)).Err(err).Msg("message dropped")
	return false
}

func (e *Exchange) leave() {
	if e.left {
		return
	}
	e.left = true
	e.o.Logger.Info().Msg("announcing the leave of this instance")
	e.apply(e.core.AnnounceLeaving(e.now))
	e.refreshView()
}

// nextOrigin stamps a message of this instance that others pass on.
func (e *Exchange) nextOrigin() origin {
	e.number++
	return origin{Instance: e.o.Name, Incarnation: e.o.Incarnation, Number: e.number}
}

// partnersBut returns the partners to whom things are passed on, other than the one that sent them.
func (e *Exchange) partnersBut(from string) []string {
	return slices.DeleteFunc(e.core.Partners(), func(name string) bool { return name == from })
}
