package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// isolatedAfter is the number of dials in a row that must fail for this instance to be considered cut off from all
// engines. Single engines fail more often than that rarely between two dials to sound ones.
const isolatedAfter = 4

// engineDialer opens connections to engines and observes whether any of them can be reached.
type engineDialer struct {
	direct  func(ctx context.Context, network, address string) (net.Conn, error)
	logger  zerolog.Logger
	results map[dialResult]*metrics.Counter

	mu       sync.Mutex
	failures int // dials in a row that failed
}

// dialResult is the result of a dial in metrics.
type dialResult string

const (
	dialConnected dialResult = "connected"
	dialRefused   dialResult = "refused"
	dialFailed    dialResult = "failed"
)

func newEngineDialer(o Options) *engineDialer {
	d := &engineDialer{direct: o.DialEngine, logger: o.Logger, results: map[dialResult]*metrics.Counter{}}
	if d.direct == nil {
		d.direct = newNetDialer().DialContext
	}
	for _, result := range []dialResult{dialConnected, dialRefused, dialFailed} {
		d.results[result] = o.Metrics.NewCounter(fmt.Sprintf("primrosebeam_engine_dials_total{result=%q}", result))
	}
	return d
}

// DialContext opens a connection to an engine.
func (d *engineDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := d.direct(ctx, network, address)
	if ctx.Err() == nil || err == nil {
		d.observe(address, err)
	}
	return connection, err
}

// observe counts the result of a dial and logs when this instance is cut off from all engines and when it is not any
// more.
func (d *engineDialer) observe(address string, err error) {
	result := dialConnected
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		result = dialRefused
	case err != nil:
		result = dialFailed
	}
	d.results[result].Inc()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		if d.failures >= isolatedAfter {
			d.logger.Info().Str("address", address).Int("failures", d.failures).Msg("engines can be reached again")
		}
		d.failures = 0
		return
	}
	d.failures++
	if d.failures == isolatedAfter {
		d.logger.Warn().Str("address", address).Err(err).Int("failures", d.failures).Msg("no engine can be reached")
	}
}

func newNetDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: unackedTimeout / 2, Interval: unackedTimeout / 4, Count: 2,
		},
		Control: setUserTimeout,
	}
}
