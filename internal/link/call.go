package link

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/primrosebeam/primrosebeam/ring"
)

// Codes of *RemoteError that this package itself returns.
const (
	CodeBusy      = "link.busy"       // all handlers of the kind are busy and their queue is full
	CodeNoHandler = "link.no-handler" // the peer has no handler for the kind
	CodeTooLong   = "link.too-long"   // the reply does not fit into a frame
	CodeInternal  = "internal"        // the handler's error has no code
)

// Send queues a one-way message without blocking. Callers may drop a message that is refused with *FullError
// if a later one supersedes it: heartbeats, summaries and floors. Consensus messages may be dropped as well,
// since the consensus core sends them again. A message that must not be lost has to be sent with Call.
// It returns *FullError, *UnknownPeerError, *EncodeError, *TooLongError or *ClosedError.
func (n *Node) Send(to string, kind Kind, body any) error {
	data, err := n.encode(frameOneWay, kind, 0, body)
	if err != nil {
		return err
	}
	if to == n.options.Name {
		return n.sendLocal(data)
	}
	p, err := n.peer(to)
	if err != nil {
		return err
	}
	return p.enqueue(data, nil)
}

// lastCallNumber is the number of the last call. Numbers are unique across all peers and nodes of a process.
var lastCallNumber atomic.Uint64

// Call sends a message and decodes the reply into reply, which may be nil. It returns *UnknownPeerError,
// *UnreachableError, *RemoteError, *FullError (nothing was sent), *CancelledError, which wraps the
// context's error, *EncodeError, *TooLongError, *DecodeError or *ClosedError.
func (n *Node) Call(ctx context.Context, to string, kind Kind, body, reply any) error {
	call := &pendingCall{number: lastCallNumber.Add(1), kind: kind, done: make(chan struct{})}
	data, err := n.encode(frameCall, kind, call.number, body)
	if err != nil {
		return err
	}
	if to == n.options.Name {
		return n.callLocal(ctx, data, reply)
	}
	p, err := n.peer(to)
	if err != nil {
		return err
	}
	if err := p.enqueue(data, call); err != nil {
		return err
	}
	select {
	case <-call.done:
	case <-ctx.Done():
		if sent, ok := p.cancel(call); ok {
			return &CancelledError{Peer: to, Sent: sent, Cause: ctx.Err()}
		}
		<-call.done
	}
	if call.err != nil {
		return call.err
	}
	return decodeReply(call.reply, reply)
}

func decodeReply(f frame, reply any) error {
	if reply == nil {
		return nil
	}
	return Decode(f.Body, reply)
}

func (n *Node) encode(t frameType, kind Kind, number uint64, body any) ([]byte, error) {
	encoded, err := Encode(body)
	if err != nil {
		return nil, err
	}
	return encodeFrame(frame{
		Type:        t,
		Kind:        kind,
		Sender:      n.options.Name,
		Incarnation: n.options.Incarnation,
		Call:        number,
		Body:        encoded,
	}, n.options.MaxFrameBytes)
}

// sendLocal delivers a message to a handler of this node. It decodes the encoded frame, as for any other
// message.
func (n *Node) sendLocal(data []byte) error {
	f, err := decodeFrame(data)
	if err != nil {
		return err
	}
	h, known := n.handlers[f.Kind]
	if !known {
		n.metrics.noHandler.Inc()
		return nil
	}
	return n.deliverLocal(&job{handler: h, from: n.id.self, frame: f})
}

func (n *Node) callLocal(ctx context.Context, data []byte, reply any) error {
	f, err := decodeFrame(data)
	if err != nil {
		return err
	}
	h, known := n.handlers[f.Kind]
	if !known {
		return &RemoteError{Peer: n.options.Name, Code: CodeNoHandler}
	}
	replies := make(chan frame, 1)
	j := &job{handler: h, from: n.id.self, frame: f, reply: func(call frame, reply any, err error) {
		replies <- n.replyFrame(call, reply, err)
	}}
	if err := n.deliverLocal(j); err != nil {
		return err
	}
	select {
	case f = <-replies:
	case <-ctx.Done():
		return &CancelledError{Peer: n.options.Name, Sent: true, Cause: ctx.Err()}
	case <-n.ctx.Done():
		return &UnreachableError{Peer: n.options.Name, Sent: true}
	}
	if f.Type != frameError {
		return decodeReply(f, reply)
	}
	var failure remoteFailure
	if err := Decode(f.Body, &failure); err != nil {
		return err
	}
	return &RemoteError{Peer: n.options.Name, Code: failure.Code, Detail: failure.Detail}
}

func (n *Node) deliverLocal(j *job) error {
	if n.isClosing() {
		return &ClosedError{}
	}
	err := n.localDispatcher.deliver(n.ctx, j)
	var full *ring.FullError
	if errors.As(err, &full) {
		return &FullError{Peer: n.options.Name, Capacity: full.Capacity}
	}
	return err
}

// replyFrame returns the reply frame of a call, or an error frame if err is not nil or reply cannot be encoded.
func (n *Node) replyFrame(call frame, reply any, err error) frame {
	f := frame{
		Type: frameReply, Kind: call.Kind, Sender: n.options.Name, Incarnation: n.options.Incarnation,
		Call: call.Call,
	}
	if err == nil {
		f.Body, err = Encode(reply)
	}
	if err != nil {
		f.Type = frameError
		f.Body = encodeFailure(errorCode(err), err.Error())
	}
	return f
}

func errorCode(err error) string {
	var coded interface{ Code() string }
	if errors.As(err, &coded) {
		return coded.Code()
	}
	return CodeInternal
}

// maxDetailBytes limits the text of an error so that an error reply always fits into a frame.
const maxDetailBytes = 1024

func encodeFailure(code, detail string) []byte {
	if len(detail) > maxDetailBytes {
		detail = detail[:maxDetailBytes]
	}
	data, err := Encode(remoteFailure{Code: code, Detail: detail})
	if err != nil {
		return nil
	}
	return data
}
