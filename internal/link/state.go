package link

import (
	"slices"
	"strings"
	"time"
)

// State is a snapshot of a node for the state dump. It contains no secrets.
type State struct {
	Name        string
	DataCentre  string
	Incarnation uint64
	Closing     bool
	Peers       []PeerState // sorted by name; peers that were never used are omitted
}

// PeerState is the state of the exchange with one peer.
type PeerState struct {
	Name            string
	Address         string
	Connected       bool   // the connection that this side dials is open
	Heard           bool   // the connection that the peer dials is open
	Incarnation     uint64 // incarnation of the peer if either connection is open, otherwise 0
	Waiting         int    // messages in the send queue
	Calls           int    // outstanding calls
	DialAttempts    int    // failed dials and early disconnects since the last stable connection
	NextDial        time.Time
	LastError       string
	BytesIn         uint64
	BytesOut        uint64
	MessagesIn      uint64
	MessagesOut     uint64
	DroppedMessages uint64
}

// State returns a snapshot of the running node. The states of the peers are read one after another.
func (n *Node) State() State {
	n.mu.Lock()
	state := State{
		Name: n.options.Name, DataCentre: n.options.DataCentre, Incarnation: n.options.Incarnation, Closing: n.closing,
	}
	peers := n.peerList()
	inboundIncarnations := make(map[string]uint64, len(n.newestInbound))
	for name, s := range n.newestInbound {
		inboundIncarnations[name] = s.peer.Incarnation
	}
	n.mu.Unlock()
	for _, p := range peers {
		incarnation, ok := inboundIncarnations[p.name]
		if ps, used := p.state(); used {
			ps.Heard = ok
			ps.Incarnation = max(ps.Incarnation, incarnation)
			state.Peers = append(state.Peers, ps)
		}
	}
	slices.SortFunc(state.Peers, func(a, b PeerState) int { return strings.Compare(a.Name, b.Name) })
	return state
}

func (p *peer) state() (state PeerState, used bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counters == nil {
		return PeerState{}, false
	}
	state = PeerState{
		Name:            p.name,
		Address:         p.address,
		Calls:           len(p.calls),
		DialAttempts:    p.failedDials,
		NextDial:        p.nextDial,
		BytesIn:         p.counters.bytesIn.Get(),
		BytesOut:        p.counters.bytesOut.Get(),
		MessagesIn:      p.counters.messagesIn.Get(),
		MessagesOut:     p.counters.messagesOut.Get(),
		DroppedMessages: p.counters.dropped.Get(),
	}
	if p.queue != nil {
		state.Waiting = p.queue.Len()
	}
	if p.session != nil {
		state.Connected = true
		state.Incarnation = p.session.peer.Incarnation
	}
	if p.lastErr != nil {
		state.LastError = p.lastErr.Error()
	}
	return state, true
}
