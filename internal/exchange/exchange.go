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

// Defaults and intervals of the exchange.
const (
	DefaultRingCapacity        = 4096
	DefaultBytesPerSecond      = 4 << 10 // of the 30 KB/s that an instance may use in both directions together
	DefaultCacheBytesPerSecond = 4 << 10
	DefaultPollersPerEngine    = 2

	SummaryInterval     = 250 * time.Millisecond
	fullSummaryInterval = 10 * time.Second // interval of full summaries, in case a change was lost
	// cacheBurstSeconds is the number of seconds whose unused byte budget cache events may save up, since
	// engines send them in bursts.
	cacheBurstSeconds   = 4
	peerSummaryLifetime = 25 * time.Second // age at which a summary is dropped: two full ones were lost
)

// Options configures an Exchange. Name, DataCentre, Incarnation, Caller and Deliver are required.
type Options struct {
	Name        string
	DataCentre  string
	Incarnation uint64
	Roles       []string
	Seeds       []membership.Hint // the peers named in the settings

	Caller link.Caller
	// Deliver receives PeerSummary, PeerFloor, LoadReport, CacheEvents and EngineState. It runs on the worker's
	// goroutine and must not block.
	Deliver func(scheduler.Event)
	// OnEvent receives the events of package membership, also on the worker's goroutine; it may be nil. On
	// Resumed, the owner of each lease has to check the lease before it acts.
	OnEvent func(membership.Event)

	RingCapacity        int // items in the input ring
	BytesPerSecond      int // for sending summaries and reports
	CacheBytesPerSecond int // for sending cache events, separate so that they never delay summaries
	PollersPerEngine    int // number of instances that poll each engine
	Clock               func() time.Time
	Logger              zerolog.Logger
	Metrics             *metrics.Set
}

// Exchange is the worker that exchanges messages with the partners. Its methods other than Run are safe for
// concurrent use and never block.
//
// When the input ring is full, further messages are dropped and counted. Every message is either repeated by
// its sender or superseded by a later one. The Publish methods return *ring.FullError in this case.
type Exchange struct {
	options Options
	metrics *exchangeMetrics
	inputs  *ring.Ring[input]
	version atomic.Uint64 // configuration version in force at this instance
	view    atomic.Pointer[view]
	state   atomic.Pointer[State]

	// The fields below belong to the worker's goroutine.
	core            *membership.Membership
	now             time.Time
	nextRound       time.Time
	bytesLeft       int                       // byte budget of the current round for summaries and reports
	lastNumber      uint64                    // number of the last forwarded message of this origin
	windows         map[string]*receiveWindow // by class and origin
	ownLoads        map[string]engineLoad     // load of this instance, by engine
	peers           map[string]*peerSummary   // received summaries, by instance
	partners        map[string]*partner       // what was sent to each partner, by name
	partnerNames    []string                  // sorted
	nextPartner     int                       // index of the partner last served
	fullMesh        bool                      // all reachable instances are partners: only floors are forwarded
	reports         map[string]*engineReport  // by engine
	reportedEngines []string                  // keys of reports, sorted
	floors          []activeFloor
	streams         map[string]*cacheStream // by engine
	cacheBytesLeft  int                     // byte budget for cache events, including what was saved up
	appliedVersion  uint64                  // configuration version last passed to core
	leaveAnnounced  bool
}

// input is one item of the ring: a received message or a call by this process.
type input struct {
	from    link.Sender
	message any
}

// New returns a worker that is not running yet. It returns *OptionsError or *membership.OptionsError when a
// required option is missing.
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
		options:        o,
		metrics:        newExchangeMetrics(o.Metrics),
		inputs:         ring.New[input](o.RingCapacity),
		core:           core,
		now:            now,
		nextRound:      now,
		windows:        map[string]*receiveWindow{},
		ownLoads:       map[string]engineLoad{},
		peers:          map[string]*peerSummary{},
		partners:       map[string]*partner{},
		reports:        map[string]*engineReport{},
		streams:        map[string]*cacheStream{},
		cacheBytesLeft: cacheBurstSeconds * o.CacheBytesPerSecond,
	}
	e.refreshView()
	e.storeState()
	return e, nil
}

func setDefault(v *int, d int) {
	if *v <= 0 {
		*v = d
	}
}

// Register registers the message handlers with a link node. It must be called before the node runs:
// e.Register(node.Handle).
func (e *Exchange) Register(handle func(kind link.Kind, h link.Handler)) {
	handle(KindHeartbeat, receive[membership.Heartbeat](e))
	handle(KindSummary, receive[summary](e))
	handle(KindFloor, receive[floor](e))
	handle(KindLeaving, receive[leaving](e))
	handle(KindReports, receive[reports](e))
	handle(KindCache, receive[cache](e))
}

// receive returns a handler that decodes messages on the caller's goroutine instead of the worker's.
func receive[T any](e *Exchange) link.Handler {
	return func(_ context.Context, from link.Sender, body []byte) (any, error) {
		var message T
		if err := link.Decode(body, &message); err != nil {
			e.metrics.undecodable.Inc()
			e.options.Logger.Warn().Str("peer", from.Name).Err(err).Msg("rejected a message that cannot be decoded")
			return nil, err
		}
		return nil, e.offer(input{from: from, message: message})
	}
}

// offer adds an item to the ring and counts it when the ring is full.
func (e *Exchange) offer(i input) error {
	err := e.inputs.Offer(i)
	if err != nil {
		e.metrics.full.Inc()
	}
	return err
}

// Run processes messages until ctx ends. It then announces that the instance is leaving, unless
// AnnounceLeaving was called before. Close the link node after Run returns, so that the announcement can
// still be sent.
func (e *Exchange) Run(ctx context.Context) error {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.updateTime()
			e.announceLeaving()
			return nil
		case <-ticker.C:
			e.drain()
			e.tick()
		case <-e.inputs.Ready():
			e.drain()
		}
	}
}

func (e *Exchange) updateTime() { e.now = e.options.Clock() }

func (e *Exchange) drain() {
	for n := e.inputs.Len(); n > 0; n-- {
		i, ok := e.inputs.TryTake()
		if !ok {
			return
		}
		e.updateTime()
		e.handle(i)
	}
}

// tick runs every membership.TickInterval.
func (e *Exchange) tick() {
	e.updateTime()
	if v := e.version.Load(); v > e.appliedVersion {
		e.appliedVersion = v
		e.applyOutput(e.core.SetVersion(e.now, v))
		e.refreshView()
	}
	e.applyOutput(e.core.Tick(e.now))
	if e.now.Before(e.nextRound) {
		return
	}
	e.nextRound = e.now.Add(SummaryInterval)
	// Bytes that a full summary used in advance are deducted from the following rounds.
	share := e.options.BytesPerSecond * int(SummaryInterval) / int(time.Second)
	e.bytesLeft = min(share, e.bytesLeft+share)
	share = e.options.CacheBytesPerSecond * int(SummaryInterval) / int(time.Second)
	e.cacheBytesLeft = min(cacheBurstSeconds*e.options.CacheBytesPerSecond, e.cacheBytesLeft+share)
	e.sendRound()
	e.storeState()
}

func (e *Exchange) handle(i input) {
	switch m := i.message.(type) {
	case membership.Heartbeat:
		source := membership.Source{Name: i.from.Name, DataCentre: i.from.DataCentre, Incarnation: i.from.Incarnation}
		e.applyOutput(e.core.Receive(e.now, source, m))
	case summary:
		e.handleSummary(i.from, m)
	case floor:
		e.handleFloor(i.from.Name, m)
	case leaving:
		for _, n := range m.Engines {
			e.applyOutput(e.core.AnnounceEngineLeaving(e.now, n.Engine, n.Incarnation))
		}
	case reports:
		for _, r := range m.Reports {
			e.handleReport(i.from.Name, r)
		}
	case cache:
		e.handleCache(i.from.Name, m)
	case ownLoads:
		e.ownLoads = m.loads
	case scheduler.PublishFloor:
		e.publishFloor(m)
	case scheduler.LoadReport:
		e.publishReport(m)
	case scheduler.CacheEvents:
		e.publishCache(m)
	case membership.EngineNotice:
		e.announceEngine(m)
	case []membership.Hint:
		e.applyOutput(e.core.ApplyHints(e.now, m))
	case leaveRequest:
		e.announceLeaving()
	}
}

// applyOutput sends the messages and handles the events of one membership step.
func (e *Exchange) applyOutput(out membership.Output) {
	for _, m := range out.Messages {
		e.send(m.To, KindHeartbeat, m.Heartbeat)
	}
	for _, event := range out.Events {
		e.handleEvent(event)
	}
	if len(out.Events) > 0 {
		e.refreshView()
	}
}

func (e *Exchange) handleEvent(event membership.Event) {
	switch event := event.(type) {
	case membership.EngineLeaving:
		e.options.Logger.Info().Str("engine", event.Engine).Uint64("incarnation", event.Incarnation).Msg("engine is leaving")
		e.options.Deliver(scheduler.EngineState{Engine: event.Engine, Incarnation: event.Incarnation, Leaving: true, Reachable: true})
	case membership.InstanceChanged:
		e.options.Logger.Debug().Str("instance", event.Instance.Name).Stringer("state", event.Instance.State).Msg("instance changed")
		if event.Instance.State == membership.StateFailed {
			e.removePeerSummary(event.Instance.Name)
		}
	case membership.Resumed:
		e.metrics.resumed.Inc()
		e.options.Logger.Warn().Dur("late", time.Duration(event.LateNanoseconds)).Msg("this process stood still")
	case membership.Superseded:
		e.options.Logger.Error().Uint64("incarnation", event.Incarnation).Msg("a newer incarnation of this instance is running")
	}
	e.options.OnEvent(event)
}

// send drops a message that the link does not accept. Every message is repeated or superseded later.
func (e *Exchange) send(to string, kind link.Kind, body any) bool {
	err := e.options.Caller.Send(to, kind, body)
	if err == nil {
		e.metrics.sent.Inc()
		return true
	}
	e.metrics.dropped.Inc()
	e.options.Logger.Debug().Str("peer", to).Str("kind", string(kind)).Err(err).Msg("message dropped")
	return false
}

func (e *Exchange) announceLeaving() {
	if e.leaveAnnounced {
		return
	}
	e.leaveAnnounced = true
	e.options.Logger.Info().Msg("announcing that this instance is leaving")
	e.applyOutput(e.core.AnnounceLeaving(e.now))
	e.refreshView()
}

// nextOrigin returns the origin of a new message that other instances forward.
func (e *Exchange) nextOrigin() origin {
	e.lastNumber++
	return origin{Instance: e.options.Name, Incarnation: e.options.Incarnation, Number: e.lastNumber}
}

// partnersExcept returns the partners to which a message is forwarded, without the one that sent it.
func (e *Exchange) partnersExcept(from string) []string {
	return slices.DeleteFunc(e.core.Partners(), func(name string) bool { return name == from })
}
