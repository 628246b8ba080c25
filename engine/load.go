package engine

import (
	"math"
	"time"
)

const (
	historyStep        = 100 * time.Millisecond // resolution of the history of requests in flight
	historyBuckets     = 64                     // 6.4 s of history; older load reports carry no information
	reportTimeConstant = 2 * time.Second        // age at which a load report has lost 63% of its weight
	meanWeight         = 0.1                    // weight of a new report in the long-run mean
)

// load estimates the number of requests on an engine. This instance's requests are known exactly;
// those of other senders come from load reports and peer summaries, which describe a past time.
type load struct {
	own                int
	history            [historyBuckets]int32 // this instance's requests in flight at the end of each step
	lastBucket         int64
	reportAt           time.Time
	reportedOthers     float64 // requests of other senders at reportAt
	reportedOthersMean float64
	peerInFlight       float64
}

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(historyStep) }

func (l *load) change(now time.Time, by int) {
	l.advance(now)
	l.own = max(l.own+by, 0)
	l.history[l.lastBucket%historyBuckets] = int32(l.own)
}

// advance fills the history with the current value for the steps since the last change.
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

// report records the total load at a past time. It subtracts this instance's requests at that time
// instead of the present ones, so that a late report does not hide this instance's later dispatches.
func (l *load) report(now, at time.Time, total float64) {
	if !at.After(l.reportAt) || at.After(now) {
		return
	}
	l.reportAt = at
	l.reportedOthers = max(total-l.ownAt(now, at), 0)
	l.reportedOthersMean += meanWeight * (l.reportedOthers - l.reportedOthersMean)
}

// others estimates the number of requests of other senders. It decays from the last load report
// towards the long-run mean, and returns the sum of the peer summaries if that is larger.
func (l *load) others(now time.Time) float64 {
	if l.reportedOthers == 0 && l.reportedOthersMean == 0 {
		return l.peerInFlight
	}
	weight := math.Exp(-float64(now.Sub(l.reportAt)) / float64(reportTimeConstant))
	reported := l.reportedOthersMean + weight*(l.reportedOthers-l.reportedOthersMean)
	return max(reported, l.peerInFlight)
}
