package upstream_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/upstream"
)

// Guards against returning a partial event, and against treating a stream without its last event as complete.
func TestEventStreamReturnsCompleteEventsOnly(t *testing.T) {
	is := is.New(t)
	stream := upstream.NewEventStream(strings.NewReader("id: a:0\ndata: x\n\n\nid: a:1\nda"), "")
	event, err := stream.Next()
	is.NoErr(err)
	is.Equal(string(event), "id: a:0\ndata: x\n\n")
	_, err = stream.Next()
	var unexpected *upstream.UnexpectedEndError
	is.True(errors.As(err, &unexpected))
	is.Equal(stream.LastID(), "a:0")
}

// Guards against comments that are counted as events and thereby as output and progress.
func TestCommentsAreNoEvents(t *testing.T) {
	is := is.New(t)
	stream := upstream.NewEventStream(strings.NewReader(":c\n\nd\n\n:c\r\n\r\n"), "")
	for i, want := range []bool{false, true, false} {
		_, err := stream.Next()
		is.NoErr(err)
		is.Equal(stream.HasFields(), want)
		is.Equal(stream.Events(), min(i, 1))
	}
}

// Guards against a stream that does not end after its last event.
func TestEventStreamEndsAfterDone(t *testing.T) {
	is := is.New(t)
	stream := upstream.NewEventStream(strings.NewReader("data: x\r\n\r\ndata: [DONE]\n\n"), "")
	for range 2 {
		_, err := stream.Next()
		is.NoErr(err)
	}
	_, err := stream.Next()
	is.True(errors.Is(err, io.EOF))
}

// Guards against a decoder that panics, or returns events with bytes added or missing.
func FuzzEventStream(f *testing.F) {
	f.Add([]byte("id: a:0\ndata: x\n\ndata: [DONE]\n\n"))
	f.Add([]byte("\r\n\r\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		stream := upstream.NewEventStream(bytes.NewReader(data), "")
		for {
			event, err := stream.Next()
			if err != nil {
				return
			}
			if !bytes.Contains(data, event) {
				t.Fatalf("event %q is not in the input", event)
			}
		}
	})
}

func BenchmarkEventStream(b *testing.B) {
	data := []byte(strings.Repeat("id: request:1\ndata: {\"choices\":[{\"delta\":{\"content\":\"word\"}}]}\n\n", 1000))
	b.ReportAllocs()
	for b.Loop() {
		stream := upstream.NewEventStream(bytes.NewReader(data), "")
		for {
			if _, err := stream.Next(); err != nil {
				break
			}
		}
	}
	b.ReportMetric(float64(b.N)*1000/b.Elapsed().Seconds(), "events/s")
}
