package intake

import (
	"cmp"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/drain"
)

const (
	// stallTimeout is how long a body or an answer may go without progress, and pressedStallTimeout the same while callers
	// press.
	stallTimeout        = 15 * time.Second
	pressedStallTimeout = 3 * time.Second
	// wideDivisor is how much may arrive unread on connections with a wide window, as one in so many of the budget.
	wideDivisor = 2
	// reservedFiles is the number of descriptors that the platform reserves for files outside the data folder.
	reservedFiles = 200
	// callerShare is the part of the other descriptors that connections of callers may take. The rest is for engines, other
	// instances, readiness and metrics.
	callerShare = 0.6
	// connectionBytes is about what an idle connection takes of the memory, without what has arrived on it.
	connectionBytes = 16 << 10
	// connectionDivisor is the part of the memory that idle connections of callers may take, as one in so many.
	connectionDivisor = 4
	// probeShare is the part of the descriptors that connections to a listener for readiness or metrics may take, as one in
	// so many, but at least minProbeConnections. They yield to others after probeGrace.
	probeShare          = 16
	minProbeConnections = 32
	probeGrace          = 300 * time.Millisecond
	// http2Bytes is about what a connection of HTTP/2 takes of the memory with all its streams, without what is held for them.
	http2Bytes = 2 << 20
	// http2Divisor is the part of the memory that connections of HTTP/2 may take, as one in so many.
	http2Divisor = 4
)

// CallerLimits returns the limits on the connections of callers, for a process with the given memory, in MiB, and number of
// descriptors; 0 means that it is not stated.
func (g *Gate) CallerLimits(memoryMB, descriptors int) drain.Limits {
	l := g.StallLimits()
	if descriptors > 0 {
		l.Connections = max(int(callerShare*float64(descriptors-reservedFiles)), 1)
	}
	l.HTTP2Connections = max(cmp.Or(memoryMB, defaultMemoryMB)<<20/http2Divisor/http2Bytes, 1)
	if memoryMB > 0 {
		byMemory := memoryMB << 20 / connectionDivisor / connectionBytes
		if l.Connections == 0 || byMemory < l.Connections {
			l.Connections = byMemory
		}
	}
	return l
}

// ProbeLimits returns the limits on the connections of those who read the readiness or the metrics of the process.
func (g *Gate) ProbeLimits(descriptors int) drain.Limits {
	l := g.StallLimits()
	l.Connections = max(descriptors/probeShare, minProbeConnections)
	l.KeptGrace = probeGrace
	return l
}

// StallLimits returns the limits on connections without one on their number.
func (g *Gate) StallLimits() drain.Limits {
	return drain.Limits{
		WideBytes:    g.capacity / wideDivisor,
		StallTimeout: stallTimeout, PressedStallTimeout: pressedStallTimeout, Pressed: g.IsPressed, OnClosed: g.Closed,
		OnFull: g.press,
	}
}
