package core

import (
	"sync/atomic"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/boottime"
)

// entryReportInterval is the interval at which a control instance reports its entry instances to the leader. Each
// attached instance causes several confirmations a second, so reporting all of them with each one would grow with
// the square of their number.
const entryReportInterval = 500 * time.Millisecond

// interval limits how often something is done. It is safe for concurrent use.
type interval struct{ last atomic.Int64 }

// due reports whether the last time is at least d ago, and takes the present one as the last time if so.
func (i *interval) due(d time.Duration) bool {
	now, last := boottime.Now(), i.last.Load()
	return now.Sub(boottime.Time(last)) >= d && i.last.CompareAndSwap(last, int64(now))
}
