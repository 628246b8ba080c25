package edge

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxEventBytes is the maximum size of one event of a stream, including the comments and blank lines before
// it.
const maxEventBytes = 64 << 10

// EventTooLongError reports an event of a stream that is longer than maxEventBytes.
type EventTooLongError struct{}

func (e *EventTooLongError) Error() string { return "edge: stream event is too long" }

// eventReader splits a response body into complete events.
type eventReader struct {
	in  *bufio.Reader
	buf []byte
}

// next returns the next event with its closing blank line and the comments and blank lines before it, which
// are no events and therefore no progress of the stream. At the end of the stream it returns io.EOF with the
// comments and blank lines after the last event, and io.ErrUnexpectedEOF when the stream ends within an event
// or a line. The bytes are valid until the next call.
func (r *eventReader) next() ([]byte, error) {
	r.buf = r.buf[:0]
	hasField, lineStart := false, true
	for {
		line, err := r.in.ReadSlice('\n')
		r.buf = append(r.buf, line...)
		if len(r.buf) > maxEventBytes {
			return nil, &EventTooLongError{}
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			hasField = hasField || lineStart && isField(line)
			lineStart = false
			continue
		case errors.Is(err, io.EOF) && !hasField && lineStart && len(line) == 0:
			return r.buf, io.EOF
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if lineStart && len(bytes.TrimRight(line, "\r\n")) == 0 && hasField {
			return r.buf, nil
		}
		hasField = hasField || lineStart && isField(line)
		lineStart = true
	}
}

// isField reports whether a line that starts like this is a field of an event: neither blank nor a comment.
func isField(line []byte) bool {
	return len(bytes.TrimRight(line, "\r\n")) > 0 && line[0] != ':'
}

// eventID returns the number in the id field of an event. ok is false when there is none.
func eventID(event []byte) (id int, ok bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		number, err := strconv.Atoi(string(bytes.TrimSpace(value)))
		return number, err == nil
	}
	return 0, false
}

// relayStream relays events as they arrive. When the stream was interrupted on another engine before, it
// must continue with the event after the last one that was relayed.
func (x *exchange) relayStream(r *http.Response, s slot, watch *watchdog) sendResult {
	events := &eventReader{in: bufio.NewReaderSize(r.Body, 4<<10)}
	started := false
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) && started {
			if _, err := x.writer.Write(event); err != nil {
				return resultCallerLeft
			}
			return resultDone
		}
		if err != nil {
			x.cause = causeOf(err, watch)
			var tooLong *EventTooLongError
			if errors.As(err, &tooLong) {
				err = nil
			}
			return x.classifyStreamError(watch, err)
		}
		id, numbered := eventID(event)
		// What continues a stream begins with the next number. An event without one is an error that the engine
		// reports in place of it.
		continues := !started && x.lastEventID != 0
		if continues && !numbered || numbered && x.lastEventID != 0 && id != x.lastEventID+1 {
			x.edge.options.Logger.Warn().Str("id", x.id).Str("engine", s.engine.ID).
				Int("event", id).Int("expected", x.lastEventID+1).Msg("stream out of order")
			x.cause = "the stream went on with another event"
			return x.classifyStreamError(watch, nil)
		}
		if !started {
			started = true
			s.firstEvent()
			x.recordOrigin()
			x.sendHeader(r)
		}
		if x.route.Resume && numbered {
			watch.reset(x.eventGapTimeout())
		} else {
			watch.reset(0) // the stream can't continue on another engine
		}
		if _, err := x.writer.Write(event); err != nil {
			return resultCallerLeft
		}
		if err := x.flush(); err != nil {
			return resultCallerLeft
		}
		now := clock()
		x.recordEvent(now)
		s.progress.add(now)
		if numbered {
			x.lastEventID = id
		}
	}
}

// recordEvent counts an event that was relayed and records the pause before it.
func (x *exchange) recordEvent(now time.Duration) {
	if x.eventsSent > 0 {
		x.longestGap = max(x.longestGap, now-x.lastEventAt)
	}
	x.eventsSent++
	x.lastEventAt = now
}

// sendHeader sends the status and header of the response to the caller, unless an earlier send has done so.
func (x *exchange) sendHeader(r *http.Response) {
	if x.headerSent {
		return
	}
	x.copyHeader(r)
	x.writeStatus(r)
	x.timeToFirst = clock() - x.arrived
	x.edge.counters.firstEvent.Update(x.timeToFirst.Seconds())
}

func (x *exchange) flush() error { return http.NewResponseController(x.writer).Flush() }

// eventGapTimeout returns how long a stream may be silent before it continues on another engine.
func (x *exchange) eventGapTimeout() time.Duration {
	return max(gapTimeoutFactor*x.route.EventGap, time.Second)
}

func (x *exchange) classifyStreamError(watch *watchdog, err error) sendResult {
	result := x.classifyBodyError(watch, err)
	if result == resultFailed && x.headerSent {
		return resultIncomplete
	}
	return result
}

// formatLastEventID returns the ID of the last event relayed, as the value of a header.
func (x *exchange) formatLastEventID() string { return strconv.Itoa(x.lastEventID) }
