package control

import (
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/ring"
)

// TestStatusWhileQueueIsFull guards against an almost empty status, as if no instance existed, while the worker is
// busy.
func TestStatusWhileQueueIsFull(t *testing.T) {
	is := is.New(t)
	p := &publisher{control: &Control{options: Options{Name: "a"}, metrics: newCounters("status-test")}, ring: ring.New[publisherEvent](1)}
	is.NoErr(p.ring.Offer(publisherEvent{committed: true}))
	is.Equal(p.status(t.Context()).Replica, "a")
	p.lastStatus.Store(&Status{Replica: "a", Leader: "b"})
	is.Equal(p.status(t.Context()).Leader, "b")
}
