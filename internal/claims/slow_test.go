package claims

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/journal/faultfs"
)

// lines is a log whose lines can be awaited.
type lines chan []byte

func (l lines) Write(line []byte) (int, error) {
	l <- bytes.Clone(line)
	return len(line), nil
}

// TestOwnerThatWaitsForItsDiskSaysSo guards against an owner, and a start of an instance, that waits for a stalled disk
// without a line in the log.
func TestOwnerThatWaitsForItsDiskSaysSo(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	log := make(lines, 100)
	files := faultfs.New()
	resume := make(chan struct{})
	var stall sync.Once
	files.SetFault(func(s faultfs.Step) error {
		if s.Operation == journal.OperationSync {
			stall.Do(func() { <-resume })
		}
		return nil
	})
	o := options(files)
	o.Logger = zerolog.New(log)
	opened := make(chan error, 1)
	go func() {
		_, err := Open(o)
		opened <- err
	}()
	var line struct {
		Level, Operation, Path string
		Took                   float64 // in milliseconds
	}
	select {
	case text := <-log:
		is.NoErr(json.Unmarshal(text, &line))
	case <-time.After(10 * journal.SlowAfter):
		t.Error("no line in the log while the disk stalls")
	}
	close(resume)
	is.NoErr(<-opened)
	is.Equal(line.Level, "warn")
	is.Equal(line.Operation, string(journal.OperationSync))
	is.True(line.Path != "")
	is.True(line.Took >= float64(journal.SlowAfter.Milliseconds()))
}
