// Package exchange runs the membership protocol over links: it sends heartbeats to the partners of an
// instance, and exchanges load summaries, admission floors, engine reports, cache events and leave notices
// with them.
package exchange

import (
	"fmt"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/membership"
)

// Kinds of messages.
const (
	KindHeartbeat link.Kind = "membership.heartbeat"
	KindSummary   link.Kind = "exchange.summary"
	KindFloor     link.Kind = "exchange.floor"
	KindLeaving   link.Kind = "exchange.leaving"
	KindReports   link.Kind = "exchange.reports"
	KindCache     link.Kind = "exchange.cache"
)

// Times are sent as ages or remaining durations in milliseconds, because the clocks of instances differ.

// summary is the sender's load on engines. Engines that it does not name are unchanged, or have no load when
// Full is set.
type summary struct {
	_       struct{} `cbor:",toarray"`
	Full    bool
	Engines []engineLoad
}

// engineLoad is the load of one instance on one engine.
type engineLoad struct {
	_        struct{} `cbor:",toarray"`
	Engine   string
	InFlight int
	Demand   int
	Limit    int // learned limit, rounded so that small changes cause no message; 0 when unknown
}

// origin identifies a forwarded message, so that each instance processes it once.
type origin struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	Incarnation uint64
	Number      uint64 // grows with each message of the incarnation
}

// floor asks instances not to admit requests of a lower tier. It is forwarded until every instance has it.
type floor struct {
	_         struct{} `cbor:",toarray"`
	Origin    origin
	Tier      int
	Remaining int64 // remaining duration in milliseconds
}

// leaving announces engines that are leaving. It is sent to all partners at once; heartbeats spread it further.
type leaving struct {
	_       struct{} `cbor:",toarray"`
	Engines []membership.EngineNotice
}

// reports is a list of load reports.
type reports struct {
	_       struct{} `cbor:",toarray"`
	Reports []report
}

// report is the load report of an engine that the origin has polled.
type report struct {
	_       struct{} `cbor:",toarray"`
	Origin  origin
	Engine  string
	Age     int64 // milliseconds
	Running int
	Waiting int
	KVUsed  float32
}

// cache is a range of an engine's cache events that the origin has polled.
type cache struct {
	_       struct{} `cbor:",toarray"`
	Origin  origin
	Engine  string
	First   uint64
	Changes []cacheChange
}

// cacheChange is one change of an engine's prefix cache.
type cacheChange struct {
	_       struct{} `cbor:",toarray"`
	Stored  []uint64
	Removed []uint64
	Cleared bool
}

// Upper bounds of encoded sizes in bytes, without the bytes of names.
const (
	loadBytes   = 10
	originBytes = 22
	reportBytes = originBytes + 30
	cacheBytes  = originBytes + 20
	hashBytes   = 9
	frameBytes  = 50 // overhead that the link adds to a message
)

func (l engineLoad) size() int { return loadBytes + len(l.Engine) }

func (r report) size() int { return reportBytes + len(r.Engine) + len(r.Origin.Instance) }

func (c cache) size() int {
	n := cacheBytes + len(c.Engine) + len(c.Origin.Instance)
	for _, change := range c.Changes {
		n += 8 + hashBytes*(len(change.Stored)+len(change.Removed))
	}
	return n
}

// milliseconds returns a duration in milliseconds, at least 0.
func milliseconds(d time.Duration) int64 { return max(0, d.Milliseconds()) }

// maxAge limits received ages and remaining durations, so that a faulty peer cannot set a floor for days.
const maxAge = time.Hour

// duration converts received milliseconds and limits them to maxAge.
func duration(ms int64) time.Duration {
	return min(maxAge, max(0, time.Duration(min(ms, maxAge.Milliseconds()))*time.Millisecond))
}

// OptionsError reports a required option that is missing.
type OptionsError struct{ Option string }

func (e *OptionsError) Error() string { return fmt.Sprintf("exchange: option %s is missing", e.Option) }
