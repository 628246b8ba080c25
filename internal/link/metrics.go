package link

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

type nodeMetrics struct {
	set          *metrics.Set
	unidentified *peerCounters
	dials        *metrics.Counter
	queueFull    *metrics.Counter
	handlersBusy *metrics.Counter
	noHandler    *metrics.Counter
	lateReplies  *metrics.Counter
}

func newNodeMetrics(set *metrics.Set) *nodeMetrics {
	m := &nodeMetrics{
		set:          set,
		dials:        set.GetOrCreateCounter("primrosebeam_link_dials_total"),
		queueFull:    set.GetOrCreateCounter("primrosebeam_link_ring_full_total"),
		handlersBusy: set.GetOrCreateCounter("primrosebeam_link_handlers_busy_total"),
		noHandler:    set.GetOrCreateCounter("primrosebeam_link_no_handler_total"),
		lateReplies:  set.GetOrCreateCounter("primrosebeam_link_late_replies_total"),
	}
	m.unidentified = m.peer("")
	return m
}

// peer returns the counters of a peer. The empty name is used for connections whose sender is not yet known.
func (m *nodeMetrics) peer(name string) *peerCounters {
	counter := func(metric string) *metrics.Counter {
		return m.set.GetOrCreateCounter(fmt.Sprintf("primrosebeam_link_%s{peer=%q}", metric, name))
	}
	return &peerCounters{
		bytesIn:     counter("received_bytes_total"),
		bytesOut:    counter("sent_bytes_total"),
		messagesIn:  counter("received_messages_total"),
		messagesOut: counter("sent_messages_total"),
		dropped:     counter("dropped_messages_total"),
	}
}

func (m *nodeMetrics) connections(direction string, count func() float64) {
	m.set.GetOrCreateGauge(fmt.Sprintf("primrosebeam_link_connections{direction=%q}", direction), count)
}

// refusal returns the counter of a reason. A reason outside the fixed set, which the other side may have
// sent, is counted as "other" so that a peer cannot create metrics.
func (m *nodeMetrics) refusal(r Reason) *metrics.Counter {
	switch r {
	case ReasonUnknownSender, ReasonWrongPeer, ReasonWrongKey, ReasonVersion, ReasonTooLong, ReasonUndecodable,
		ReasonSender, ReasonUnexpected, ReasonIncarnation, ReasonTooMany, ReasonTimeout:
	default:
		r = "other"
	}
	return m.set.GetOrCreateCounter(fmt.Sprintf("primrosebeam_link_refused_total{reason=%q}", string(r)))
}
