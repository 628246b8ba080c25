// Package exchange is the duty around the membership core: it sends heartbeats to the partners of an
// instance, and exchanges summaries of load, admission floors, engines' reports and leave notices with them.
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

// Times are sent as ages or remainders in milliseconds, since the clocks of instances differ.

// summary is the load of the sender on engines. Engines that it does not name are unchanged,
// unless Full is set: then they have no load.
type summary struct {
	_       struct{} `cbor:",toarray"`
	Full    bool
	Engines []engineLoad
}

type engineLoad struct {
	_        struct{} `cbor:",toarray"`
	Engine   string
	InFlight int
	Demand   int
	Limit    int // learned limit, rounded so that its small changes send no message; 0 when unknown
}

// origin identifies a message that is passed on, so that each instance takes it once.
type origin struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	Incarnation uint64
	Number      uint64 // grows with each message of the incarnation
}

// floor asks not to admit work of a lower tier. It is passed on until everybody has it.
type floor struct {
	_         struct{} `cbor:",toarray"`
	Origin    origin
	Tier      int
	Remaining int64 // milliseconds
}

// leaving is sent at once to all partners; heartbeats spread it further.
type leaving struct {
	_       struct{} `cbor:",toarray"`
	Engines []membership.EngineNotice
}

type reports struct {
	_       struct{} `cbor:",toarray"`
	Reports []report
}

// report is an engine's load report, polled by the origin.
type report struct {
	_       struct{} `cbor:",toarray"`
	Origin  origin
	Engine  string
	Age     int64 // milliseconds
	Running int
	Waiting int
	KVUsed  float32
}

// cache is a part of an engine's cache events, polled by the origin.
type cache struct {
	_       struct{} `cbor:",toarray"`
	Origin  origin
	Engine  string
	First   uint64
	Changes []cacheChange
}

type cacheChange struct {
	_       struct{} `cbor:",toarray"`
	Stored  []uint64
	Removed []uint64
	Cleared bool
}

// Upper bounds of encoded sizes in bytes, without names.
const (
	loadBytes   = 10
	originBytes = 22
	reportBytes = originBytes + 30
	cacheBytes  = originBytes + 20
	hashBytes   = 9
	frameBytes  = 50 // what the link adds
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

func milliseconds(d time.Duration) int64 { return max(0, d.Milliseconds()) }

// maxAge bounds ages and remainders that are received, so that a faulty peer cannot set a floor for days.
const maxAge = time.Hour

func duration(ms int64) time.Duration {
	return min(maxAge, max(0, time.Duration(min(ms, maxAge.Milliseconds()))*time.Millisecond))
}

// OptionsError reports an option that New cannot work with.
type OptionsError struct{ Option string }

func (e *OptionsError) Error() string { return fmt.Sprintf("exchange: option %s is missing", e.Option) }
