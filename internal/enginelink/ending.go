package enginelink

import (
	"errors"
	"io"
	"net/http/httptrace"
	"sync"
	"time"
)

// writeEndTimeout is how long the write of a request may go on after the engine has ended the connection. A sound engine
// has read the request by then, and only the writing goroutine is yet to notice.
const writeEndTimeout = time.Second

// IncompleteError reports that a connection ended while bytes to the engine were not written, or after a write had failed.
// What was read before may be a part of a response. The system reports a reset once only, to a write or to a read, and the
// reads after it return io.EOF as if the engine had closed the connection.
type IncompleteError struct {
	Cause error // of the write that failed; nil if the engine left before the request was written
}

func (e *IncompleteError) Error() string {
	if e.Cause == nil {
		return "enginelink: the connection ended before the request was written"
	}
	return "enginelink: the connection broke while a request was written: " + e.Cause.Error()
}

// Unwrap returns io.ErrUnexpectedEOF and the cause, if there is one.
func (e *IncompleteError) Unwrap() []error {
	if e.Cause == nil {
		return []error{io.ErrUnexpectedEOF}
	}
	return []error{io.ErrUnexpectedEOF, e.Cause}
}

// requestState tells how much of a request was written. The mutex of its Connection guards it.
//
// Invariant: the end of a connection is that of a response only if the request was written whole and no write has failed.
type requestState struct {
	begun   bool  // a request was begun and its last byte was not passed on
	unsent  bool  // no byte of it was written
	failure error // of a write
	closed  bool  // the connection, by this side
	changed sync.Cond
}

// Read implements net.Conn. It returns io.EOF only where the engine may have ended a response, and otherwise an
// *IncompleteError.
func (c *Connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.answered.Store(true) // without the mutex, as an engine may respond before it reads what is being written
	}
	if errors.Is(err, io.EOF) {
		err = c.checkEnd()
	}
	return n, err
}

// checkEnd returns the error of a read after the last byte. It waits until the request is written or has failed.
func (c *Connection) checkEnd() error {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeEndTimeout)) // fails only if the connection is closed
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.request
	r.changed.L = &c.mu
	answered := c.answered.Load()
	for answered && r.begun && r.failure == nil && !r.closed {
		r.changed.Wait() // a write that follows fails after the deadline
	}
	if r.failure != nil || answered && (r.begun || r.unsent) {
		return &IncompleteError{Cause: r.failure}
	}
	return io.EOF
}

// begin records that a request is going to be written.
func (c *Connection) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered.Store(false)
	c.request.begun, c.request.unsent = true, true
}

// wrote records that the last byte of a request was passed on, or the failure of that. A request that fits into the
// buffer of net/http is written afterwards, in one piece.
func (c *Connection) wrote(info httptrace.WroteRequestInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.begun = false
	if info.Err != nil {
		c.request.failure = info.Err
	}
	c.request.changed.Broadcast()
}
