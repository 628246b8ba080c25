package link

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"
)

// dialRaw opens a WebSocket connection without the handshake.
func dialRaw(t *testing.T, address string) *websocket.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+address+urlPath, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ws.CloseNow() })
	return ws
}

func testIdentity(name string, key []byte) identity {
	return identity{self: Sender{Name: name, DataCentre: "olten", Incarnation: 7}, key: key}
}

// waitForRefusal waits until the listener has counted the reason.
func waitForRefusal(t *testing.T, n *Node, reason Reason) {
	t.Helper()
	eventually(t, "refusal "+string(reason), func() bool { return n.metrics.refusal(reason).Get() > 0 })
}

// Guards against a listener that accepts an invalid connection, does not count its refusal, or stops
// serving other connections because of it.
func TestListenerRefusesInvalidConnections(t *testing.T) {
	cases := []struct {
		reason Reason
		send   func(t *testing.T, ws *websocket.Conn, ctx context.Context)
	}{
		{ReasonUnknownSender, func(t *testing.T, ws *websocket.Conn, ctx context.Context) {
			requireRefusal(t, ReasonUnknownSender, dialError(ctx, ws, testIdentity("stranger", testKey), "b"))
		}},
		{ReasonUnknownSender, func(t *testing.T, ws *websocket.Conn, ctx context.Context) {
			// The dialler claims the listener's own name.
			requireRefusal(t, ReasonUnknownSender, dialError(ctx, ws, testIdentity("b", testKey), "b"))
		}},
		{ReasonWrongKey, func(t *testing.T, ws *websocket.Conn, ctx context.Context) {
			requireRefusal(t, ReasonWrongKey,
				dialError(ctx, ws, testIdentity("a", []byte("not the key of the others")), "b"))
		}},
		{ReasonWrongPeer, func(t *testing.T, ws *websocket.Conn, ctx context.Context) {
			requireRefusal(t, ReasonWrongPeer, dialError(ctx, ws, testIdentity("a", testKey), "c"))
		}},
		{ReasonVersion, func(t *testing.T, ws *websocket.Conn, ctx context.Context) {
			hello := testIdentity("a", testKey).message(stepHello)
			hello.Version = protocolVersion + 1
			_ = writeHandshake(ctx, ws, hello)
		}},
		{ReasonVersion, func(t *testing.T, ws *websocket.Conn, ctx context.Context) { // different message layout
			writeEncoded(t, ctx, ws, []any{protocolVersion + 1, "something else"})
		}},
		{ReasonUndecodable, func(t *testing.T, ws *websocket.Conn, ctx context.Context) {
			_ = ws.Write(ctx, websocket.MessageBinary, []byte("GET / HTTP/1.1"))
		}},
		{ReasonTooLong, func(t *testing.T, ws *websocket.Conn, ctx context.Context) {
			_ = ws.Write(ctx, websocket.MessageBinary, make([]byte, maxHandshakeBytes+1))
		}},
		{ReasonTimeout, func(*testing.T, *websocket.Conn, context.Context) {}},
		{ReasonTooLong, func(t *testing.T, ws *websocket.Conn, ctx context.Context) {
			mustDial(t, ctx, ws)
			_ = ws.Write(ctx, websocket.MessageBinary, make([]byte, DefaultMaxFrameBytes+1))
		}},
		{ReasonUndecodable, func(t *testing.T, ws *websocket.Conn, ctx context.Context) {
			mustDial(t, ctx, ws)
			_ = ws.Write(ctx, websocket.MessageBinary, []byte{0xff, 1, 2, 3})
		}},
		{ReasonVersion, func(t *testing.T, ws *websocket.Conn, ctx context.Context) {
			mustDial(t, ctx, ws)
			writeEncoded(t, ctx, ws, frame{
				Version: protocolVersion - 1, Type: frameOneWay, Sender: "a", Incarnation: 7, Body: []byte{0xf6},
			})
		}},
		{ReasonSender, func(t *testing.T, ws *websocket.Conn, ctx context.Context) {
			mustDial(t, ctx, ws) // The sender of the frame is a known peer, but not the authenticated one.
			writeEncoded(t, ctx, ws, frame{
				Version: protocolVersion, Type: frameOneWay, Sender: "c", Incarnation: 7, Body: []byte{0xf6},
			})
		}},
		{ReasonSender, func(t *testing.T, ws *websocket.Conn, ctx context.Context) {
			mustDial(t, ctx, ws)
			writeEncoded(t, ctx, ws, frame{
				Version: protocolVersion, Type: frameOneWay, Sender: "a", Incarnation: 8, Body: []byte{0xf6},
			})
		}},
		{ReasonUnexpected, func(t *testing.T, ws *websocket.Conn, ctx context.Context) {
			mustDial(t, ctx, ws) // The dialler sends a reply, which only the listener may do.
			writeEncoded(t, ctx, ws, frame{
				Version: protocolVersion, Type: frameReply, Sender: "a", Incarnation: 7, Body: []byte{0xf6},
			})
		}},
	}
	for _, c := range cases {
		t.Run(string(c.reason), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			nodes := startNodes(t, []string{"a", "b", "c"}, nil, nil)
			_, err := callEcho(nodes["c"], "b", testTimeout)
			is.NoErr(err)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			ws := dialRaw(t, nodes["b"].Address())
			c.send(t, ws, ctx)
			waitForRefusal(t, nodes["b"], c.reason)
			_, _, err = ws.Read(ctx)
			for err == nil { // A refusal may arrive before the connection ends.
				_, _, err = ws.Read(ctx)
			}
			is.True(ctx.Err() == nil)
			is.Equal(nodes["c"].State().Peers[0].Connected, true) // other connections are not affected
			_, err = callEcho(nodes["c"], "b", testTimeout)
			is.NoErr(err)
		})
	}
}

func dialError(ctx context.Context, ws *websocket.Conn, id identity, peer string) error {
	_, err := id.dial(ctx, ws, peer)
	return err
}

func mustDial(t *testing.T, ctx context.Context, ws *websocket.Conn) {
	t.Helper()
	if err := dialError(ctx, ws, testIdentity("a", testKey), "b"); err != nil {
		t.Fatal(err)
	}
}

func requireRefusal(t *testing.T, reason Reason, err error) {
	t.Helper()
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Reason != reason {
		t.Fatalf("got %v, want refusal %s", err, reason)
	}
}

func writeEncoded(t *testing.T, ctx context.Context, ws *websocket.Conn, v any) {
	t.Helper()
	data, err := Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	if err := ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		t.Fatal(err)
	}
}

// Guards against a dialler that trusts an impostor: one that returns the dialler's own MAC, one without the
// key, one with another name and one with an old protocol version.
func TestDiallerRefusesImpostors(t *testing.T) {
	dialImpostor := func(t *testing.T, reason Reason, serve func(ctx context.Context, ws *websocket.Conn)) {
		is := is.New(t)
		l := listen(t)
		go serveRaw(l, serve)
		defer func() { _ = l.Close() }()
		a := startNode(t, Options{
			Name: "a", DataCentre: "bern", SharedKey: testKey, Listener: listen(t),
			Peers: map[string]string{"b": l.Addr().String()},
		}, nil)
		_, err := callEcho(a, "b", testTimeout)
		var unreachable *UnreachableError
		is.True(errors.As(err, &unreachable))
		is.True(!unreachable.Sent)
		waitForRefusal(t, a, reason)
	}
	id := testIdentity("b", testKey)
	challenge := func(ctx context.Context, ws *websocket.Conn, as identity) handshake {
		_, _ = readHandshake(ctx, ws, stepHello)
		c := as.message(stepChallenge)
		c.Nonce = newNonce()
		_ = writeHandshake(ctx, ws, c)
		response, _ := readHandshake(ctx, ws, stepResponse)
		return response
	}
	t.Run("reflected MAC", func(t *testing.T) {
		dialImpostor(t, ReasonWrongKey, func(ctx context.Context, ws *websocket.Conn) {
			confirm := id.message(stepConfirm)
			confirm.MAC = challenge(ctx, ws, id).MAC
			_ = writeHandshake(ctx, ws, confirm)
			_, _, _ = ws.Read(ctx)
		})
	})
	t.Run("without the key", func(t *testing.T) {
		dialImpostor(t, ReasonWrongKey, func(ctx context.Context, ws *websocket.Conn) {
			challenge(ctx, ws, id)
			confirm := id.message(stepConfirm)
			confirm.MAC = make([]byte, 32)
			_ = writeHandshake(ctx, ws, confirm)
			_, _, _ = ws.Read(ctx)
		})
	})
	t.Run("another name", func(t *testing.T) {
		dialImpostor(t, ReasonWrongPeer, func(ctx context.Context, ws *websocket.Conn) {
			challenge(ctx, ws, testIdentity("c", testKey))
		})
	})
	t.Run("old version", func(t *testing.T) {
		dialImpostor(t, ReasonVersion, func(ctx context.Context, ws *websocket.Conn) {
			_, _ = readHandshake(ctx, ws, stepHello)
			c := id.message(stepChallenge)
			c.Version = protocolVersion - 1
			_ = writeHandshake(ctx, ws, c)
			_, _, _ = ws.Read(ctx)
		})
	})
}

// Guards against a MAC that does not cover every field of the transcript: it could be used for another
// connection, name, data centre, incarnation or role.
func TestTranscriptCoversEveryField(t *testing.T) {
	is := is.New(t)
	base := transcript{
		Dialler:       Sender{Name: "a", DataCentre: "bern", Incarnation: 1},
		Listener:      Sender{Name: "b", DataCentre: "olten", Incarnation: 2},
		DiallerNonce:  bytes.Repeat([]byte{1}, nonceBytes),
		ListenerNonce: bytes.Repeat([]byte{2}, nonceBytes),
	}
	mac, err := base.mac(testKey, roleDialler)
	is.NoErr(err)
	is.NoErr(base.verify(testKey, roleDialler, mac))
	is.True(base.verify(testKey, roleListener, mac) != nil)
	is.True(base.verify(testKey, roleDialler, mac[:31]) != nil)
	is.True(base.verify(append([]byte{0}, testKey...), roleDialler, mac) != nil)
	for _, change := range []func(x *transcript){
		func(x *transcript) { x.Dialler.Name = "c" },
		func(x *transcript) { x.Listener.Name = "c" },
		func(x *transcript) { x.Dialler.DataCentre = "olten" },
		func(x *transcript) { x.Listener.DataCentre = "bern" },
		func(x *transcript) { x.Dialler.Incarnation++ },
		func(x *transcript) { x.Listener.Incarnation++ },
		func(x *transcript) { x.DiallerNonce = x.ListenerNonce },
		func(x *transcript) { x.ListenerNonce = x.DiallerNonce },
		func(x *transcript) { x.Dialler, x.Listener = x.Listener, x.Dialler },
	} {
		changed := base
		change(&changed)
		is.True(changed.verify(testKey, roleDialler, mac) != nil)
	}
}

// Guards against a connection of an older incarnation that replaces a newer one.
func TestOlderIncarnationIsRefused(t *testing.T) {
	is := is.New(t)
	nodes := startNodes(t, []string{"a", "b"}, func(o *Options) { o.Incarnation = 8 }, nil)
	_, err := callEcho(nodes["a"], "b", testTimeout)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	ws := dialRaw(t, nodes["b"].Address())
	mustDial(t, ctx, ws) // incarnation 7
	waitForRefusal(t, nodes["b"], ReasonIncarnation)
	is.True(nodes["b"].State().Peers[0].Heard)
	is.Equal(nodes["b"].State().Peers[0].Incarnation, uint64(8))
}

// Guards against decoding that panics, returns an untyped error, or accepts a frame that changes when it is
// encoded and decoded again.
func FuzzDecodeFrame(f *testing.F) {
	for _, seed := range []frame{
		{Type: frameCall, Kind: "echo", Sender: "a", Incarnation: 1, Call: 2, Body: []byte{0xa1, 1, 2}},
		{Type: frameOneWay, Kind: "membership.heartbeat", Sender: "b", Body: []byte{0xf6}},
	} {
		data, err := encodeFrame(seed, DefaultMaxFrameBytes)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)-1])
		f.Add(append(data, 0))
	}
	f.Add([]byte{0x87, 2})
	f.Add([]byte(strings.Repeat("\x81", 100)))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = decodeHandshake(data)
		decoded, err := decodeFrame(data)
		if err != nil {
			var version *VersionError
			var undecodable *DecodeError
			if !errors.As(err, &version) && !errors.As(err, &undecodable) {
				t.Fatalf("unexpected error type: %v", err)
			}
			return
		}
		if decoded.Version != protocolVersion {
			t.Fatal("a different protocol version was accepted")
		}
		again, err := encodeFrame(decoded, 1<<30)
		if err != nil {
			t.Fatalf("a decoded frame cannot be encoded: %v", err)
		}
		same, err := decodeFrame(again)
		if err != nil || same.Kind != decoded.Kind || same.Call != decoded.Call || !bytes.Equal(same.Body, decoded.Body) {
			t.Fatalf("round trip changed the frame: %v %v (%v)", decoded, same, err)
		}
	})
}

func BenchmarkFrame(b *testing.B) {
	body := make([]byte, 256)
	b.ReportAllocs()
	for b.Loop() {
		encoded, err := Encode(body)
		if err != nil {
			b.Fatal(err)
		}
		data, err := encodeFrame(frame{
			Type: frameOneWay, Kind: "membership.heartbeat", Sender: "bern-1", Incarnation: 1, Body: encoded,
		}, DefaultMaxFrameBytes)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := decodeFrame(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCall(b *testing.B) {
	for _, parallel := range []int{1, 64} {
		b.Run(map[int]string{1: "one", 64: "parallel"}[parallel], func(b *testing.B) {
			nodes := startNodes(b, []string{"a", "b"}, nil, nil)
			if _, err := callEcho(nodes["a"], "b", testTimeout); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			b.ResetTimer()
			started := time.Now()
			b.SetParallelism(max(1, parallel/10))
			call := func() {
				if _, err := callEcho(nodes["a"], "b", testTimeout); err != nil {
					b.Error(err)
				}
			}
			if parallel == 1 {
				for range b.N {
					call()
				}
			} else {
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						call()
					}
				})
			}
			b.ReportMetric(float64(b.N)/time.Since(started).Seconds(), "calls/s")
		})
	}
}
