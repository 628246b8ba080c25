package engine

import (
	"math"
	"time"
)

const (
	historyStep    = 100 * time.Millisecond // resolution of the history of own requests in flight
	historyBuckets = 64                     // 6.4 s: load reports older than this carry no information
	loadMemory     = 2 * time.Second        // age at which a report has lost 63% of its weight
	meanWeight     = 0.1                    // weight of a new report in the long-run mean
)

// load estimates the requests on an engine. Own requests are known exactly; those of others come
// from reports and summaries that lie in the past.
type load struct {
	own          int
	history      [historyBuckets]int32 // own requests in flight at the end of each step
	lastBucket   int64
	reportAt     time.Time
	foreign      float64 // requests of others at reportAt
	foreignMean  float64
	peerInFlight float64
}

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(historyStep) }

func (l *load) change(now time.Time, by int) {
	l.advance(now)
	l.own = max(l.own+by, 0)
	l.history[l.lastBucket%historyBuckets] = int32(l.own)
}

// advance fills the steps since the last change.
func (l *load) advance(now time.Time) {
	bucket := bucketOf(now)
	if bucket <= l.lastBucket {
		return
	}
	from := max(l.lastBucket+1, bucket-historyBuckets+1)
	for b := from; b <= bucket; b++ {
		l.history[b%historyBuckets] = int32(l.own)
	}
	l.lastBucket = bucket
}

func (l *load) ownAt(now, at time.Time) float64 {
	l.advance(now)
	bucket := bucketOf(at)
	if bucket > l.lastBucket || bucket <= l.lastBucket-historyBuckets {
		return float64(l.own)
	}
	return float64(l.history[bucket%historyBuckets])
}

// report records the total load at a past time; own requests at that time are taken off, so that
// own dispatches since then are not hidden by the report's age.
func (l *load) report(now, at time.Time, total float64) {
	if !at.After(l.reportAt) || at.After(now) {
		return
	}
	l.reportAt = at
	l.foreign = max(total-l.ownAt(now, at), 0)
	l.foreignMean += meanWeight * (l.foreign - l.foreignMean)
}

// others estimates the requests of other senders: the last report, which loses weight with age in
// favour of the long-run mean, or the sum of the summaries if that is larger.
func (l *load) others(now time.Time) float64 {
	if l.foreign == 0 && l.foreignMean == 0 {
		return l.peerInFlight
	}
	weight := math.Exp(-float64(now.Sub(l.reportAt)) / float64(loadMemory))
	reported := l.foreignMean + weight*(l.foreign-l.foreignMean)
	return max(reported, l.peerInFlight)
}
