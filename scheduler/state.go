package scheduler

import (
	"slices"
	"strings"
	"time"
)

// Counters holds counts of requests and ejections since the scheduler was created.
type Counters struct {
	Arrived    uint64                     `json:"arrived"`
	Dispatched uint64                     `json:"dispatched"`
	Finished   uint64                     `json:"finished"`
	Retried    uint64                     `json:"retried"`
	Ejections  uint64                     `json:"ejections"`
	Rejected   [len(rejectReasons)]uint64 `json:"-"`
}

var rejectReasons = [...]RejectReason{
	RejectShed, RejectFloor, RejectDeadline, RejectNoEngine, RejectRetries, RejectUnknown,
}

func reasonIndex(r RejectReason) int {
	for i, reason := range rejectReasons {
		if reason == r {
			return i
		}
	}
	return len(rejectReasons) - 1
}

// State is a snapshot of the scheduler for state dumps. It contains no content of requests.
type State struct {
	At       time.Time               `json:"at"`
	InFlight int                     `json:"inFlight"`
	Counters Counters                `json:"counters"`
	Rejected map[RejectReason]uint64 `json:"rejected"`
	Floor    *FloorState             `json:"floor,omitempty"`
	Tiers    []TierState             `json:"tiers"`
	Services []ServiceState          `json:"services"`
	Engines  []EngineSnapshot        `json:"engines"`
	Peers    []PeerState             `json:"peers"`
}

// FloorState is the admission floor that the other instances have requested.
type FloorState struct {
	Tier  int       `json:"tier"`
	Until time.Time `json:"until"`
}

// TierState counts the waiting requests of one tier.
type TierState struct {
	Name    string `json:"name"`
	Waiting int    `json:"waiting"`
}

// ServiceState describes the queue and the engines of one service.
type ServiceState struct {
	Name          string      `json:"name"`
	Usable        int         `json:"usable"` // engines that accept work
	Open          int         `json:"open"`   // engines with a free slot
	Waiting       int         `json:"waiting"`
	Slots         float64     `json:"places"`  // requests that may be in flight from this instance
	DurationRatio float64     `json:"stretch"` // mean ratio of actual to estimated duration of a request
	Flows         []FlowState `json:"flows"`
	MeanOutput    float64     `json:"meanOutputTokens"`
	DecodeMS      float64     `json:"decodeMilliseconds"`
	PrefillRate   float64     `json:"prefillTokensPerSecond"`
}

// FlowState describes the waiting requests of one workspace in one tier of a service.
type FlowState struct {
	Tier      string  `json:"tier"`
	Workspace string  `json:"workspace"`
	Waiting   int     `json:"waiting"`
	Late      int     `json:"late"`
	Work      float64 `json:"engineSeconds"`
}

// EngineSnapshot is the state of one engine as known to this instance.
type EngineSnapshot struct {
	Name             string  `json:"name"`
	Incarnation      uint64  `json:"incarnation"`
	Leaving          bool    `json:"leaving"`
	Unreachable      bool    `json:"unreachable"`
	Drained          bool    `json:"drained"`
	Ejected          bool    `json:"ejected"`
	FailureRate      float64 `json:"failureRate"`
	InFlight         int     `json:"inFlight"`
	Allowed          int     `json:"allowed"`
	Limit            float64 `json:"limit"`
	Occupancy        float64 `json:"occupancy"`
	DecodeMS         float64 `json:"decodeMilliseconds"`
	PrefillRate      float64 `json:"prefillTokensPerSecond"`
	ResponseMS       float64 `json:"answerMilliseconds"`
	PrefixBlocks     int     `json:"prefixBlocks"`
	PrefixConfidence float64 `json:"prefixConfidence"`
}

// PeerState is the time of the last summary of another instance.
type PeerState struct {
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
}

// State returns a snapshot of the scheduler at now.
func (s *Scheduler) State(now time.Time) State {
	state := State{
		At:       now,
		InFlight: s.inFlight,
		Counters: s.counters,
		Rejected: make(map[RejectReason]uint64, len(rejectReasons)),
		Tiers:    []TierState{},
		Services: []ServiceState{},
		Engines:  []EngineSnapshot{},
		Peers:    []PeerState{},
	}
	for i, reason := range rejectReasons {
		state.Rejected[reason] = s.counters.Rejected[i]
	}
	if tier := s.floors.lowestAdmitted(now); tier != noFloor {
		state.Floor = &FloorState{Tier: tier, Until: s.floors.until}
	}
	for i, tier := range s.policy.Tiers {
		state.Tiers = append(state.Tiers, TierState{Name: tier.Name, Waiting: s.waiting[i]})
	}
	for _, sv := range s.ordered {
		state.Services = append(state.Services, s.serviceState(sv))
	}
	for _, m := range s.members {
		state.Engines = append(state.Engines, m.snapshot(now))
	}
	for name, p := range s.peers {
		state.Peers = append(state.Peers, PeerState{Instance: name, At: p.at})
	}
	slices.SortFunc(state.Peers, func(a, b PeerState) int { return strings.Compare(a.Instance, b.Instance) })
	return state
}

func (s *Scheduler) serviceState(sv *service) ServiceState {
	state := ServiceState{
		Name:          sv.config.Name,
		Usable:        sv.usable,
		Open:          len(sv.open),
		Waiting:       sv.waiting,
		Slots:         sv.slots,
		DurationRatio: sv.durationRatio,
		MeanOutput:    sv.output,
		DecodeMS:      sv.decode * 1000,
		PrefillRate:   1 / sv.prefill,
		Flows:         []FlowState{},
	}
	for _, q := range sv.tiers {
		for _, f := range q.active {
			state.Flows = append(state.Flows, FlowState{
				Tier:      s.policy.Tiers[q.tier].Name,
				Workspace: s.policy.Workspaces[f.workspace].Name,
				Waiting:   f.length(),
				Late:      f.late.length,
				Work:      f.work,
			})
		}
	}
	return state
}

func (m *server) snapshot(now time.Time) EngineSnapshot {
	v := m.view
	return EngineSnapshot{
		Name:             m.config.Name,
		Incarnation:      m.lifecycle.Incarnation,
		Leaving:          m.lifecycle.Leaving,
		Unreachable:      m.lifecycle.Unreachable,
		Drained:          m.drained,
		Ejected:          v.Health.Ejected(),
		FailureRate:      v.Health.FailureRate(),
		InFlight:         v.InFlight(),
		Allowed:          v.Allowed(),
		Limit:            v.Limit(),
		Occupancy:        v.Occupancy(now),
		DecodeMS:         v.DecodeSeconds(now) * 1000,
		PrefillRate:      1 / v.PrefillSeconds(),
		ResponseMS:       v.ResponseSeconds(now) * 1000,
		PrefixBlocks:     v.Prefix.BlockCount(),
		PrefixConfidence: v.Prefix.Confidence(),
	}
}
