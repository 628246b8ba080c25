package replica

import (
	"bytes"
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

// TestReplicaThatWaitsForItsDiskSaysSo guards against a replica, and a start of an instance, that waits for a stalled
// disk without a line in the log.
func TestReplicaThatWaitsForItsDiskSaysSo(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	log := make(lines, 100)
	c := newCluster(t, func(o *Options) { o.Logger = zerolog.New(log).Level(zerolog.WarnLevel) }, "a")
	files := faultfs.New()
	c.members["a"].files = files
	resume := make(chan struct{})
	var stall sync.Once
	files.SetFault(func(s faultfs.Step) error {
		if s.Operation == journal.OperationSync {
			stall.Do(func() { <-resume })
		}
		return nil
	})
	go func() {
		defer close(resume)
		select {
		case line := <-log:
			if !bytes.Contains(line, []byte(`"operation":"sync"`)) {
				t.Errorf("another line in the log: %s", line)
			}
		case <-time.After(10 * journal.SlowAfter):
			t.Error("no line in the log while the disk stalls")
		}
	}()
	c.startAll()
	<-resume
	is.NoErr(c.stop("a"))
}
