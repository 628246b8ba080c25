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

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// EventTooLongError reports an event of a stream that is longer than maxEventBytes.
type EventTooLongError struct{}

func (e *EventTooLongError) Error() string { return "edge: event of a stream is too long" }

// eventReader reads whole events.
type eventReader struct {
	in  *bufio.Reader
	buf []byte
}

// next returns the next event with its blank line. It returns io.EOF at a clean end, and
// io.ErrUnexpectedEOF when the stream ends inside of an event. The bytes are valid until the next call.
func (r *eventReader) next() ([]byte, error) {
	r.buf = r.buf[:0]
	for {
		line, err := r.in.ReadSlice('\n')
		r.buf = append(r.buf, line...)
		if len(r.buf) > maxEventBytes {
			return nil, &EventTooLongError{}
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.buf) == 0:
			return nil, io.EOF
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(r.buf) > len(line) {
			return r.buf, nil
		}
	}
}

// eventID returns the id field of an event.
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

// relayStream passes events on as they arrive. A stream that broke off before goes on with the event
// after the last one that was passed on.
func (x *exchange) relayStream(r *http.Response, p place, watch *watchdog) verdict {
	events := &eventReader{in: bufio.NewReaderSize(r.Body, 4<<10)}
	started := false
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) && started {
			return verdictDone
		}
		if err != nil {
			x.cause = causeOf(err, watch)
			return x.classifyStream(watch)
		}
		id, numbered := eventID(event)
		if numbered && x.last != 0 && id != x.last+1 {
			x.edge.options.Logger.Warn().Str("id", x.id).Str("engine", p.engine.ID).Int("event", id).Int("expected", x.last+1).Msg("stream out of order")
			x.cause = "the stream went on with another event"
			return x.classifyStream(watch)
		}
		if !started {
			started = true
			p.start()
			x.begin(r)
		}
		if x.route.Resume && numbered {
			watch.reset(x.pausePatience())
		} else {
			watch.reset(0) // It can't go on elsewhere.
		}
		if _, err := x.writer.Write(event); err != nil {
			return verdictGone
		}
		if err := x.flush(); err != nil {
			return verdictGone
		}
		x.events++
		if numbered {
			x.last = id
		}
	}
}

// begin sends the header of the first engine's answer.
func (x *exchange) begin(r *http.Response) {
	if x.header {
		return
	}
	x.copyHeader(r)
	x.writer.WriteHeader(r.StatusCode)
	x.header, x.status = true, r.StatusCode
	x.first = clock() - x.arrived
	x.edge.counters.firstEvent.Update(x.first.Seconds())
}

func (x *exchange) flush() error { return http.NewResponseController(x.writer).Flush() }

// pausePatience is how long a stream may be silent before it goes on at another engine.
func (x *exchange) pausePatience() time.Duration {
	return max(eventPatience*x.route.EventGap, time.Second)
}

func (x *exchange) classifyStream(watch *watchdog) verdict {
	v := x.classifyBody(watch)
	if v == verdictFailed && x.header {
		return verdictBroken
	}
	return v
}

// lastEvent names the last event that the caller has.
func (x *exchange) lastEvent() string { return strconv.Itoa(x.last) }
