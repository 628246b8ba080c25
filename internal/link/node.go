package link

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/internal/pending"
)

// Default values of Options.
const (
	DefaultMaxFrameBytes    = 1 << 20
	DefaultRingCapacity     = 1024 // queued messages per peer
	DefaultMaxCalls         = 1024 // outstanding calls per peer
	DefaultHandlersPerKind  = 64   // calls of one kind handled concurrently per connection
	DefaultQueuePerKind     = 256  // messages of one kind waiting for a handler per connection
	DefaultHandshakeTimeout = 2 * time.Second
	DefaultWriteTimeout     = 2 * time.Second
	DefaultIdleTimeout      = time.Minute
	DefaultCloseTimeout     = 2 * time.Second
)

const (
	// An unresponsive peer is detected in under 3 s: at most receiveTimeout after the last received data,
	// which pings every pingInterval keep recent, plus one monitorInterval.
	pingInterval    = time.Second
	receiveTimeout  = 2250 * time.Millisecond
	monitorInterval = 250 * time.Millisecond
	// A check that is late by more than this means that this process was paused. Data in the kernel's buffers
	// may not have been read yet, so the receive timeout starts again.
	processPauseThreshold = time.Second

	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// A connection that ends sooner counts as a failed dial, so that a peer that closes connections
	// right after authentication is not dialled again for every message.
	stableAfter = time.Second

	closePollInterval = 5 * time.Millisecond // interval at which Close checks for remaining calls and handlers

	// maxPending bounds the inbound connections that are not authenticated yet. Instances of a deployment need a few of them
	// for a moment.
	maxPending = 128
	urlPath    = "/link"
)

// Options configures a Node. Name, DataCentre, SharedKey and either ListenAddress or Listener are required.
type Options struct {
	Name        string // 1 to 64 characters of a-z, A-Z, 0-9, '.', '-', '_'
	DataCentre  string // same format as Name
	Incarnation uint64 // increases with each start of the instance
	SharedKey   []byte // at least 16 bytes, identical on all instances; never logged

	ListenAddress string            // IP:port
	Listener      net.Listener      // used instead of ListenAddress if set
	Peers         map[string]string // addresses (IP:port) by instance name
	// Resolve returns the address of an instance that is not in Peers; ok is false if the name is not a
	// valid instance. If nil, only the instances in Peers are known.
	Resolve func(name string) (address string, ok bool)

	MaxFrameBytes    int           // maximum size of an encoded frame
	RingCapacity     int           // maximum messages per peer that wait to be sent
	MaxCalls         int           // maximum outstanding calls per peer
	HandlersPerKind  int           // maximum calls of one kind handled concurrently per connection
	QueuePerKind     int           // maximum messages of one kind waiting for a handler per connection
	HandshakeTimeout time.Duration // limit for dialling and authentication together
	WriteTimeout     time.Duration // limit for one write
	IdleTimeout      time.Duration // time without messages after which a dialled connection is closed
	CloseTimeout     time.Duration // limit for Close

	AllowPartitions bool // enables SetPartitioned; for tests only
	Logger          zerolog.Logger
	Metrics         *metrics.Set // nil means a new set
}

// Node exchanges messages with the peers of one instance. All methods are safe for concurrent use.
//
// Each side dials its own connection for the messages that it sends; replies arrive on the same connection.
// A connection is dialled when a message for the peer is queued and none is open.
type Node struct {
	options         Options
	id              identity
	metrics         *nodeMetrics
	handlers        map[Kind]Handler
	localDispatcher *dispatcher
	runningHandlers atomic.Int64         // number of running handlers
	peerWorkers     sync.WaitGroup       // one goroutine per started peer
	pending         *pending.Connections // inbound connections that are not authenticated yet

	ctx    context.Context // cancelled when the remaining connections are closed
	cancel context.CancelFunc

	mu            sync.Mutex
	running       bool
	closing       bool
	listener      net.Listener
	server        *http.Server
	peers         map[string]*peer
	inbound       map[*session]struct{}
	outbound      map[*session]struct{}
	newestInbound map[string]*session // newest inbound session by peer name
	closed        chan struct{}
}

var _ Caller = (*Node)(nil)

// New validates the options and returns a Node that is not yet running. It returns *OptionsError.
func New(o Options) (*Node, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	o.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		options: o,
		id: identity{
			self: Sender{Name: o.Name, DataCentre: o.DataCentre, Incarnation: o.Incarnation}, key: o.SharedKey,
		},
		metrics:       newNodeMetrics(o.Metrics),
		handlers:      map[Kind]Handler{},
		pending:       pending.New(maxPending),
		ctx:           ctx,
		cancel:        cancel,
		listener:      o.Listener,
		peers:         map[string]*peer{},
		inbound:       map[*session]struct{}{},
		outbound:      map[*session]struct{}{},
		newestInbound: map[string]*session{},
		closed:        make(chan struct{}),
	}
	n.localDispatcher = newDispatcher(o.HandlersPerKind, o.QueuePerKind, &n.runningHandlers)
	for name, address := range o.Peers {
		if name != o.Name {
			n.peers[name] = newPeer(n, name, address)
		}
	}
	n.metrics.connections("dialled", func() float64 { return n.countSessions(n.outbound) })
	n.metrics.connections("accepted", func() float64 { return n.countSessions(n.inbound) })
	return n, nil
}

func (n *Node) countSessions(sessions map[*session]struct{}) float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return float64(len(sessions))
}

func (o *Options) validate() error {
	if err := validName("Name", o.Name); err != nil {
		return err
	}
	if err := validName("DataCentre", o.DataCentre); err != nil {
		return err
	}
	if len(o.SharedKey) < minSharedKeyBytes {
		return &OptionsError{Option: "SharedKey", Reason: "shorter than 16 bytes"}
	}
	if o.Listener == nil {
		if _, err := netip.ParseAddrPort(o.ListenAddress); err != nil {
			return &OptionsError{Option: "ListenAddress", Reason: err.Error()}
		}
	}
	for name, address := range o.Peers {
		if err := validPeer(name, address); err != nil {
			return err
		}
	}
	return nil
}

func validPeer(name, address string) error {
	if err := validName("Peers", name); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &OptionsError{Option: "Peers", Reason: name + ": " + err.Error()}
	}
	return nil
}

func validName(option, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return &OptionsError{Option: option, Reason: "a name has 1 to 64 characters"}
	}
	for _, c := range []byte(name) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '.' && c != '-' && c != '_' {
			return &OptionsError{Option: option, Reason: "a name consists of letters, digits, '.', '-' and '_'"}
		}
	}
	return nil
}

func (o *Options) setDefaults() {
	setDefault(&o.MaxFrameBytes, DefaultMaxFrameBytes)
	setDefault(&o.RingCapacity, DefaultRingCapacity)
	setDefault(&o.MaxCalls, DefaultMaxCalls)
	setDefault(&o.HandlersPerKind, DefaultHandlersPerKind)
	setDefault(&o.QueuePerKind, DefaultQueuePerKind)
	setDefault(&o.HandshakeTimeout, DefaultHandshakeTimeout)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.CloseTimeout, DefaultCloseTimeout)
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// Handle registers the handler of a kind. It must not be called after Run.
func (n *Node) Handle(kind Kind, h Handler) { n.handlers[kind] = h }

// SetPeer adds a peer or changes its address, for example after an instance was replaced. An open
// connection is kept. It returns *OptionsError.
func (n *Node) SetPeer(name, address string) error {
	if err := validPeer(name, address); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if name == n.options.Name {
		return nil
	}
	if p, known := n.peers[name]; known {
		p.setAddress(address)
		return nil
	}
	n.peers[name] = newPeer(n, name, address)
	return nil
}

// Address returns the listening address; it is empty before Run unless Options.Listener is set.
func (n *Node) Address() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listener == nil {
		return ""
	}
	return n.listener.Addr().String()
}

// Run listens and serves until ctx ends or Close is called, then closes gracefully. After Close it returns
// nil immediately, since a stop may happen before the start. It returns *ClosedError if called twice.
func (n *Node) Run(ctx context.Context) error {
	if n.isClosing() {
		return nil
	}
	if err := n.listen(ctx); err != nil {
		var closed *ClosedError
		if errors.As(err, &closed) && n.isClosing() {
			return nil
		}
		return err
	}
	failed := make(chan error, 1)
	go func() {
		failed <- n.server.Serve(&monitoredListener{Listener: n.listener, unidentified: n.metrics.unidentified})
	}()
	go n.monitorConnections()
	var err error
	select {
	case <-ctx.Done():
	case <-n.closed:
	case err = <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
	}
	return errors.Join(err, n.Close())
}

func (n *Node) isClosing() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closing
}

func (n *Node) listen(ctx context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing || n.running {
		return &ClosedError{}
	}
	n.running = true
	if n.listener == nil {
		var config net.ListenConfig
		l, err := config.Listen(ctx, "tcp", n.options.ListenAddress)
		if err != nil {
			return err
		}
		n.listener = l
	}
	n.server = &http.Server{
		Handler:           http.HandlerFunc(n.serve),
		ReadHeaderTimeout: n.options.HandshakeTimeout,
		MaxHeaderBytes:    8 << 10,
		ErrorLog:          log.New(n.options.Logger, "", 0),
		ConnState:         n.connectionChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}
	return nil
}

// monitorConnections closes connections whose peer no longer responds.
func (n *Node) monitorConnections() {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-n.ctx.Done():
			return
		}
		paused := time.Since(last) > monitorInterval+processPauseThreshold
		last = time.Now()
		for _, s := range n.sessions() {
			s.checkStalled(paused, n.options.WriteTimeout)
		}
	}
}

func (n *Node) sessions() []*session {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]*session, 0, len(n.inbound)+len(n.outbound))
	for s := range n.inbound {
		all = append(all, s)
	}
	for s := range n.outbound {
		all = append(all, s)
	}
	return all
}

// Close refuses new messages, sends the queued ones, waits for outstanding calls and running handlers, and
// then closes the connections. It takes at most Options.CloseTimeout before it closes them forcibly.
func (n *Node) Close() error {
	n.mu.Lock()
	if n.closing {
		n.mu.Unlock()
		<-n.ctx.Done()
		return nil
	}
	n.closing = true
	close(n.closed)
	peers := n.peerList()
	server := n.server
	n.mu.Unlock()

	ctx, cancel := context.WithTimeout(context.Background(), n.options.CloseTimeout)
	defer cancel()
	for _, p := range peers {
		p.stop()
	}
	waitForGroup(ctx, &n.peerWorkers)
	n.waitForHandlers(ctx)
	var closing sync.WaitGroup
	for _, s := range n.sessions() {
		closing.Go(func() { s.closeGracefully(ctx) })
	}
	closing.Wait()
	n.cancel()
	var err error
	switch {
	case server != nil:
		err = server.Close()
	case n.listener != nil:
		err = n.listener.Close()
	}
	for _, s := range n.sessions() {
		s.closeNow()
	}
	return err
}

// waitForGroup returns when the group is done or ctx ends.
func waitForGroup(ctx context.Context, group *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (n *Node) waitForHandlers(ctx context.Context) {
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for n.runningHandlers.Load() > 0 && ctx.Err() == nil {
		<-ticker.C
	}
}

// peerList returns all peers in no particular order. The caller must hold n.mu.
func (n *Node) peerList() []*peer {
	peers := make([]*peer, 0, len(n.peers))
	for _, p := range n.peers {
		peers = append(peers, p)
	}
	return peers
}

func (n *Node) peer(name string) (*peer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, known := n.lookup(name)
	switch {
	case !known:
		return nil, &UnknownPeerError{Peer: name}
	case n.closing:
		return nil, &ClosedError{}
	}
	return p, nil
}

// maxResolvedPeers is the number of peers from which on Resolve adds none. Peers are never removed, so
// instances that are replaced at new addresses would make the number grow without bound.
const maxResolvedPeers = 4096

// lookup returns the peer with the given name and adds it if Resolve returns an address for it. The caller must
// hold n.mu.
func (n *Node) lookup(name string) (*peer, bool) {
	p, known := n.peers[name]
	if known || n.options.Resolve == nil || name == n.options.Name || len(n.peers) >= maxResolvedPeers {
		return p, known
	}
	address, ok := n.options.Resolve(name)
	if !ok || validPeer(name, address) != nil {
		return nil, false
	}
	p = newPeer(n, name, address)
	n.peers[name] = p
	return p, true
}

// SetPartitioned simulates a network partition: it holds back all traffic with a peer in both directions until
// it is called with false. It is for tests and returns *PartitionsDisabledError unless
// Options.AllowPartitions is set.
func (n *Node) SetPartitioned(peer string, partitioned bool) error {
	if !n.options.AllowPartitions {
		return &PartitionsDisabledError{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p, known := n.peers[peer]
	if !known {
		return &UnknownPeerError{Peer: peer}
	}
	p.partition.set(partitioned)
	return nil
}
