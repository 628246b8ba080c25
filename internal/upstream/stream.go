package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
)

// maxEventBytes is the maximum size of one server-sent event.
const maxEventBytes = 1 << 20

// doneMarker is the data of the last event of an OpenAI-compatible stream.
var doneMarker = []byte("[DONE]")

// EventStream splits an SSE body into complete events. It never returns the partial event at the end of a
// stream that was cut off.
type EventStream struct {
	reader *bufio.Reader
	buffer []byte
	lastID string
	events int
	fields bool // the last event has a field
	done   bool
}

// NewEventStream returns a stream of the events in body. lastID is the ID of the last event that was read
// before, or empty.
func NewEventStream(body io.Reader, lastID string) *EventStream {
	return &EventStream{reader: bufio.NewReaderSize(body, readBufferSize), lastID: lastID}
}

// Next returns the next complete event with its closing blank line. The slice is valid until the next call.
// Errors: io.EOF after the last event of a complete stream, *UnexpectedEndError when the stream ended before
// that event, *TooLargeError, and those of the reader.
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
			s.buffer = s.buffer[:0] // an extra blank line between events
			continue
		}
		if isBlank(line) {
			s.finishEvent()
			return s.buffer, nil
		}
	}
}

// LastID returns the ID of the last complete event that had one.
func (s *EventStream) LastID() string { return s.lastID }

// HasFields reports whether the last event that was read has a field, and is not a comment only.
func (s *EventStream) HasFields() bool { return s.fields }

// Events returns the number of complete events read, without comments.
func (s *EventStream) Events() int { return s.events }

// Buffered returns the number of bytes that are buffered and can be read without waiting for the engine.
func (s *EventStream) Buffered() int { return s.reader.Buffered() }

// Done reports whether the last event of the stream was read.
func (s *EventStream) Done() bool { return s.done }

// finishEvent counts the event in the buffer unless it consists of comments, records its ID and detects the end
// of the stream.
func (s *EventStream) finishEvent() {
	s.fields = false
	for rest := s.buffer; len(rest) > 0; {
		line := rest
		if cut := bytes.IndexByte(rest, '\n'); cut >= 0 {
			line = rest[:cut]
			rest = rest[cut+1:]
		} else {
			rest = nil
		}
		if field := bytes.TrimSuffix(line, []byte("\r")); len(field) > 0 && field[0] != ':' {
			s.fields = true
		}
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			s.lastID = string(bytes.TrimSpace(id))
		}
		if data, found := bytes.CutPrefix(line, []byte("data:")); found && bytes.Equal(bytes.TrimSpace(data), doneMarker) {
			s.done = true
		}
	}
	if s.fields {
		s.events++
	}
}

func isBlank(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}

// RequestOfEvent returns the request ID in an event ID of the form "REQUEST:NUMBER". ok is false when there
// is none.
func RequestOfEvent(eventID string) (request string, ok bool) {
	cut := strings.LastIndexByte(eventID, ':')
	if cut <= 0 {
		return "", false
	}
	return eventID[:cut], true
}
