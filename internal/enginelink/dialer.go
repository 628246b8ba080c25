package enginelink

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

const (
	// isolatedAfter is the number of direct dials in a row that must fail for this instance to be considered cut off
	// from all engines.
	isolatedAfter = 4
	// relayDelay is how long a direct dial may take before a relay is tried in addition.
	relayDelay = 100 * time.Millisecond
	// relayPause is how long a relay that cannot be reached is not used while there are others.
	relayPause = 2 * time.Second
)

// DialerOptions configures a Dialer.
type DialerOptions struct {
	// Direct opens a connection to an engine; nil means with the network of this machine.
	Direct func(ctx context.Context, network, address string) (net.Conn, error)
	// Relays returns the addresses of the relays that may be used.
	Relays    func() []string
	SharedKey []byte
	// OnIsolated is called when this instance turns out to be cut off from all engines. It must not block.
	OnIsolated func()
	// ReadBorn asks the engine at the other end of a new connection for its time of birth, where RequireBorn was used.
	ReadBorn func(connection net.Conn, address string) (int64, error)
	Logger   zerolog.Logger
	Metrics  *metrics.Set
}

// Dialer opens connections to engines, directly or through a relay. It is safe for concurrent use.
type Dialer struct {
	options DialerOptions
	results map[dialResult]*metrics.Counter

	mu       sync.Mutex
	failures int                  // direct dials in a row that failed
	pauses   map[string]time.Time // until when relays are not used
	next     int                  // rotates among the relays
}

// dialResult is the result of a dial in metrics.
type dialResult string

const (
	dialConnected   dialResult = "connected"
	dialRefused     dialResult = "refused"
	dialFailed      dialResult = "failed"
	dialRelayed     dialResult = "relayed"
	dialRelayFailed dialResult = "relay-failed"
	// dialUnidentified counts connections whose process did not state its time of birth, besides the others.
	dialUnidentified dialResult = "unidentified"
)

// NewDialer returns a Dialer.
func NewDialer(o DialerOptions) *Dialer {
	d := &Dialer{options: o, results: map[dialResult]*metrics.Counter{}, pauses: map[string]time.Time{}}
	if d.options.Direct == nil {
		d.options.Direct = newNetDialer().DialContext
	}
	for _, result := range []dialResult{dialConnected, dialRefused, dialFailed, dialRelayed, dialRelayFailed, dialUnidentified} {
		d.results[result] = o.Metrics.NewCounter(fmt.Sprintf("primrosebeam_engine_dials_total{result=%q}", result))
	}
	return d
}

// dialed is the result of one of the dials for a connection.
type dialed struct {
	connection net.Conn
	err        error
}

// DialContext opens a connection to an engine. It dials directly and, if that fails or takes long, also through a
// relay, and returns the first connection. An instance that is cut off from all engines tries both at once, so that it
// notices when the cut has ended. The error is that of the direct dial, *RefusedError if the relay found that the
// engine accepts no connection, or that of ReadBorn. The connection is a *Connection.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return d.open(ctx, raw, address)
}

func (d *Dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	timed, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	direct, relayed := make(chan dialed, 1), make(chan dialed, 1)
	go func() {
		// Not cancelled when the relay is faster: the result tells whether engines can be reached.
		own, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
		defer cancel()
		connection, err := d.options.Direct(own, network, address)
		d.observe(address, err)
		direct <- dialed{connection, err}
	}()
	delay := time.NewTimer(d.relayDelay())
	defer delay.Stop()
	relay := d.pickRelay()
	startRelay := func() {
		if relay == "" {
			return
		}
		go func() { relayed <- d.dialRelay(timed, relay, address) }()
	}
	var directErr, relayErr error
	relayStarted := relay == ""
	for {
		select {
		case <-delay.C:
			if !relayStarted {
				relayStarted = true
				startRelay()
			}
		case r := <-direct:
			if r.err == nil {
				if relayStarted && relay != "" && relayErr == nil {
					go closeLate(relayed)
				}
				return r.connection, nil
			}
			directErr = r.err
			if !relayStarted {
				relayStarted = true
				startRelay()
			}
		case r := <-relayed:
			if r.err == nil {
				if directErr == nil {
					go closeLate(direct)
				}
				return r.connection, nil
			}
			relayErr = r.err
		}
		if directErr != nil && (relay == "" || relayErr != nil) {
			var refused *RefusedError
			if errors.As(relayErr, &refused) {
				return nil, refused
			}
			return nil, directErr
		}
	}
}

// closeLate closes the connection of a dial whose result is not needed any more.
func closeLate(result <-chan dialed) {
	if r := <-result; r.err == nil {
		_ = r.connection.Close() // nothing was sent on it
	}
}

// relayDelay returns how long to wait for a direct dial before a relay is tried.
func (d *Dialer) relayDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failures >= isolatedAfter {
		return 0
	}
	return relayDelay
}

// observe counts the result of a direct dial and notices when this instance is cut off from all engines, and when it
// is not any more.
func (d *Dialer) observe(address string, err error) {
	result := dialConnected
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		result = dialRefused
	case err != nil:
		result = dialFailed
	}
	d.results[result].Inc()
	d.mu.Lock()
	before := d.failures
	d.failures++
	if err == nil {
		d.failures = 0
	}
	isolated := d.failures == isolatedAfter
	d.mu.Unlock()
	switch {
	case err == nil && before >= isolatedAfter:
		d.options.Logger.Info().Str("address", address).Int("failures", before).Msg("engines can be reached again")
	case isolated:
		d.options.Logger.Warn().Str("address", address).Err(err).Int("failures", isolatedAfter).Msg("no engine can be reached directly")
		d.options.OnIsolated()
	}
}

// pickRelay returns a relay, or an empty string if there is none. Those that could not be reached recently come last.
func (d *Dialer) pickRelay() string {
	relays := d.options.Relays()
	if len(relays) == 0 {
		return ""
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next++
	for i := range relays {
		if relay := relays[(d.next+i)%len(relays)]; now.After(d.pauses[relay]) {
			return relay
		}
	}
	return relays[d.next%len(relays)]
}

func (d *Dialer) dialRelay(ctx context.Context, relay, address string) dialed {
	connection, err := dialThrough(ctx, d.options.SharedKey, relay, address)
	if err == nil {
		d.results[dialRelayed].Inc()
		return dialed{connection: connection}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return dialed{err: err} // not needed any more
	}
	d.results[dialRelayFailed].Inc()
	var refused *RefusedError
	var unreachable *UnreachableError
	if !errors.As(err, &refused) && !errors.As(err, &unreachable) {
		d.mu.Lock()
		d.pauses[relay] = time.Now().Add(relayPause)
		d.mu.Unlock()
	}
	return dialed{err: err}
}
