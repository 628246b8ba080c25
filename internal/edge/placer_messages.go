package edge

import (
	"time"

	"github.com/primrosebeam/primrosebeam/internal/fleet"
)

func newFleetRest(now time.Duration, engine string, until time.Duration) fleet.Rest {
	return fleet.Rest{Engine: engine, LeftMS: (until - now).Milliseconds()}
}

func newFleetRequest(now time.Duration, t *ticket) fleet.Request {
	r := &t.request
	return fleet.Request{
		ID: t.id, Service: r.Service, Workspace: r.Workspace, Charge: r.Charge, Tier: r.Tier, Route: r.Route,
		PartlyDelivered: r.PartlyDelivered, PromptTokens: r.PromptTokens,
		ExpectedOutputTokens: r.ExpectedOutputTokens, MaxOutputTokens: r.MaxOutputTokens,
		ExcludedEngines:      r.ExcludedEngines,
		AgeMS:                (now - r.ArrivedAt).Milliseconds(),
		FirstEventDueMS:      (r.FirstEventDue - now).Milliseconds(),
		FirstEventDeadlineMS: (r.FirstEventDeadline - now).Milliseconds(),
		DeadlineMS:           (r.Deadline - now).Milliseconds(),
		CallerTimeoutMS:      r.CallerTimeout.Milliseconds(),
		EventGapMS:           r.EventGap.Milliseconds(), TokensPerEvent: r.TokensPerEvent,
		Parts: r.Parts, Version: r.Version,
	}
}
