package enginelink

import (
	"context"
	"crypto/hmac"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/internal/drain"
	"github.com/primrosebeam/primrosebeam/internal/pending"
)

const (
	// maxTunnels bounds the tunnels of a relay, each of which takes two descriptors and about 40 KB of memory.
	maxTunnels = 1024
	// tunnelShare is the part of the descriptors of the process that tunnels may take, as one in so many.
	tunnelShare    = 2
	tunnelFiles    = 2
	minimumTunnels = 16
	// maxPending bounds the connections whose request for a tunnel has not arrived.
	maxPending = 64
	// requestTimeout is how long a request for a tunnel may take to arrive.
	requestTimeout = time.Second
	// acceptPause is how long no tunnel is accepted after a failure, which may last.
	acceptPause = 10 * time.Millisecond
	// toEngineBuffer is the size of the buffer for bytes to an engine.
	toEngineBuffer = 8 << 10
)

// RelayOptions configures a Relay.
type RelayOptions struct {
	Listen    string // address, IP:port
	SharedKey []byte
	// IsEngine reports whether an address is that of a listed engine. Tunnels lead nowhere else.
	IsEngine func(address string) bool
	// Descriptors is the number of descriptors that the process may open; 0 means no limit.
	Descriptors int
	Logger      zerolog.Logger
	Metrics     *metrics.Set
}

// Relay connects other instances to engines that they cannot reach themselves.
type Relay struct {
	options RelayOptions
	slots   chan struct{} // semaphore of the tunnels
	pending *pending.Connections
	dialer  *net.Dialer
	opened  *metrics.Counter
	denied  *metrics.Counter

	mu      sync.Mutex
	open    map[net.Conn]struct{}
	closing bool
	workers sync.WaitGroup
}

// NewRelay returns a Relay that does not listen yet.
func NewRelay(o RelayOptions) *Relay {
	tunnels := maxTunnels
	if o.Descriptors > 0 {
		tunnels = min(tunnels, max(o.Descriptors/tunnelShare/tunnelFiles, minimumTunnels))
	}
	r := &Relay{
		options: o, slots: make(chan struct{}, tunnels), pending: pending.New(maxPending), dialer: newNetDialer(), open: map[net.Conn]struct{}{},
		opened: o.Metrics.NewCounter("primrosebeam_relay_tunnels_total"),
		denied: o.Metrics.NewCounter("primrosebeam_relay_tunnels_denied_total"),
	}
	o.Metrics.NewGauge("primrosebeam_relay_tunnels", func() float64 { return float64(len(r.slots)) })
	return r
}

// Run accepts tunnels until ctx is cancelled.
func (r *Relay) Run(ctx context.Context) error {
	config := net.ListenConfig{KeepAliveConfig: newNetDialer().KeepAliveConfig, Control: func(network, address string, c syscall.RawConn) error {
		return errors.Join(setUserTimeout(network, address, c), drain.LimitWindow(c))
	}}
	listener, err := config.Listen(ctx, "tcp", r.options.Listen)
	if err != nil {
		return fmt.Errorf("enginelink: listen for tunnels: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { r.close(listener) })
	defer stop()
	for {
		connection, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			r.workers.Wait()
			return ctx.Err()
		case err != nil:
			// Too many descriptors are in use, or the dialler has left.
			r.options.Logger.Warn().Err(err).Msg("tunnel not accepted")
			time.Sleep(acceptPause)
			continue
		}
		r.accept(ctx, connection)
	}
}

// close stops the listener and all tunnels.
func (r *Relay) close(listener net.Listener) {
	_ = listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closing = true
	for connection := range r.open {
		_ = connection.Close()
	}
}

func (r *Relay) accept(ctx context.Context, connection net.Conn) {
	if r.pending.Add(connection) {
		r.denied.Inc()
	}
	r.workers.Go(func() {
		defer r.pending.Remove(connection)
		if !r.register(connection) {
			return
		}
		defer r.unregister(connection)
		if err := r.serve(ctx, connection); err != nil && ctx.Err() == nil {
			r.options.Logger.Debug().Stringer("peer", connection.RemoteAddr()).Err(err).Msg("tunnel ended")
		}
	})
}

// register adds a connection to those that are closed at the end. It returns false and closes it if that has come.
func (r *Relay) register(connection net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closing {
		_ = connection.Close()
		return false
	}
	r.open[connection] = struct{}{}
	return true
}

func (r *Relay) unregister(connection net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, connection)
	_ = connection.Close()
}

// serve answers the request for a tunnel and copies bytes until either side has ended.
func (r *Relay) serve(ctx context.Context, in net.Conn) error {
	address, err := r.readRequest(in)
	if err != nil {
		r.denied.Inc()
		_, failure := in.Write([]byte{byte(statusDenied)})
		return errors.Join(err, failure)
	}
	r.pending.Remove(in)
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	default:
		r.denied.Inc()
		return &DeniedError{Relay: in.RemoteAddr().String()} // the instance tries another relay
	}
	if socket, ok := in.(syscall.Conn); ok {
		if err := drain.OpenWindow(socket); err != nil {
			return err
		}
	}
	raw, err := r.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		answer := statusUnreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			answer = statusRefused
		}
		_, failure := in.Write([]byte{byte(answer)})
		return errors.Join(err, failure)
	}
	out := NewConnection(raw)
	if !r.register(out) {
		return ctx.Err()
	}
	defer r.unregister(out)
	if _, err := in.Write([]byte{byte(statusConnected)}); err != nil {
		return err
	}
	r.opened.Inc()
	r.workers.Go(func() {
		// An error ends the tunnel as the end of the instance's bytes does.
		_, _ = io.CopyBuffer(struct{ io.Writer }{out}, struct{ io.Reader }{in}, make([]byte, toEngineBuffer))
		_ = out.Close() // ends the copy in the other direction as well
	})
	return copyFrames(in, out)
}

// readRequest reads and checks the request for a tunnel and returns the engine's address.
func (r *Relay) readRequest(in net.Conn) (string, error) {
	if err := in.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return "", err
	}
	nonce := newNonce()
	if _, err := in.Write(nonce); err != nil {
		return "", err
	}
	var header [frameHeader]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return "", err
	}
	size := int(binary.BigEndian.Uint16(header[:]))
	peer := in.RemoteAddr().String()
	if size > maxRequestBytes {
		return "", &DeniedError{Relay: peer}
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(in, data); err != nil {
		return "", err
	}
	var request tunnelRequest
	if err := cbor.Unmarshal(data, &request); err != nil {
		return "", err
	}
	if !hmac.Equal(request.MAC, tunnelMAC(r.options.SharedKey, nonce, request.Address)) || !r.options.IsEngine(request.Address) {
		return "", &DeniedError{Relay: peer}
	}
	return request.Address, in.SetDeadline(time.Time{})
}

// copyFrames sends the engine's bytes in frames. Only their regular end is sent as such: out.Read returns io.EOF only if no
// write to the engine has failed.
func copyFrames(in io.Writer, out *Connection) error {
	buffer := make([]byte, frameHeader+maxFrameBytes)
	for {
		n, err := out.Read(buffer[frameHeader:])
		if n > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, err := in.Write(buffer[:frameHeader+n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return writeFrame(in, nil)
		case err != nil:
			return err
		}
	}
}
