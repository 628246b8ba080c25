package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// doneMarker is the data of the last event of an OpenAI-compatible stream.
var doneMarker = []byte("[DONE]")

// EventStream splits an SSE body into whole events. Partial events at a break are never returned.
type EventStream struct {
	reader *bufio.Reader
	buffer []byte
	lastID string
	events int
	done   bool
}

// NewEventStream reads events from body. lastID is the ID of the last event that was read before, or empty.
func NewEventStream(body io.Reader, lastID string) *EventStream {
	return &EventStream{reader: bufio.NewReaderSize(body, readBufferSize), lastID: lastID}
}

// Next returns the next whole event with its closing blank line; the slice is valid until the next call.
// It returns io.EOF after the last event of a whole stream, *UnexpectedEndError when the stream
// ended before, *TooLargeError, or the reader's error.
func (s *EventStream) Next() ([]byte, error) {
	if s.done {
		return nil, io.EOF
	}
	s.buffer = s.buffer[:0]
	for {
		line, err := s.reader.ReadSlice('\n')
		s.buffer = append(s.buffer, line...)
		if len(s.buffer) > maxEventBytes {
			return nil, &TooLargeError{Limit: maxEventBytes}
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return nil, &UnexpectedEndError{}
		case err != nil:
			return nil, err
		}
		if isBlank(line) && len(s.buffer) == len(line) {
			s.buffer = s.buffer[:0] // A blank line between events.
			continue
		}
		if isBlank(line) {
			s.finishEvent()
			return s.buffer, nil
		}
	}
}

// LastID returns the ID of the last whole event.
func (s *EventStream) LastID() string { return s.lastID }

// Events returns the number of whole events read.
func (s *EventStream) Events() int { return s.events }

// Buffered returns the number of bytes that can be read without waiting for the engine.
func (s *EventStream) Buffered() int { return s.reader.Buffered() }

// Done reports whether the last event of the stream was read.
func (s *EventStream) Done() bool { return s.done }

func (s *EventStream) finishEvent() {
	s.events++
	for rest := s.buffer; len(rest) > 0; {
		line := rest
		if cut := bytes.IndexByte(rest, '\n'); cut >= 0 {
			line = rest[:cut]
			rest = rest[cut+1:]
		} else {
			rest = nil
		}
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			s.lastID = string(bytes.TrimSpace(id))
		}
		if data, found := bytes.CutPrefix(line, []byte("data:")); found && bytes.Equal(bytes.TrimSpace(data), doneMarker) {
			s.done = true
		}
	}
}

func isBlank(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}

// RequestOfEvent returns the request ID that an event ID "REQUEST:NUMBER" names; ok is false when it names none.
func RequestOfEvent(eventID string) (request string, ok bool) {
	cut := strings.LastIndexByte(eventID, ':')
	if cut <= 0 {
		return "", false
	}
	return eventID[:cut], true
}
