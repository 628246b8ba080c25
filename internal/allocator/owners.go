package allocator

import (
	"maps"
	"strconv"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/placement"
)

func (o *owner) request(now time.Duration, in *fleet.Request) placement.Request {
	return placement.Request{
		ID: requestID(o.name, in.ID), Owner: o.name, DataCentre: o.dataCentre,
		Service: in.Service, Workspace: in.Workspace, Charge: in.Charge, Tier: in.Tier, Route: in.Route,
		PartlyDelivered: in.PartlyDelivered,
		PromptTokens:    in.PromptTokens, ExpectedOutputTokens: in.ExpectedOutputTokens,
		MaxOutputTokens: in.MaxOutputTokens, ExcludedEngines: in.ExcludedEngines,
		ArrivedAt:          now - time.Duration(in.AgeMS)*time.Millisecond,
		FirstEventDue:      now + time.Duration(in.FirstEventDueMS)*time.Millisecond,
		FirstEventDeadline: now + time.Duration(in.FirstEventDeadlineMS)*time.Millisecond,
		Deadline:           now + time.Duration(in.DeadlineMS)*time.Millisecond,
		CallerTimeout:      time.Duration(in.CallerTimeoutMS) * time.Millisecond,
		EventGap:           time.Duration(in.EventGapMS) * time.Millisecond, TokensPerEvent: in.TokensPerEvent,
		Parts: in.Parts, Version: in.Version,
	}
}

// requestID returns an ID that is unique across all owners for a request number of one owner.
func requestID(owner string, number uint64) placement.RequestID {
	return placement.RequestID(owner + "/" + strconv.FormatUint(number, 10))
}

// requestNumber is the inverse of requestID.
func requestNumber(owner string, id placement.RequestID) uint64 {
	n, err := strconv.ParseUint(string(id[len(owner)+1:]), 10, 64)
	if err != nil {
		return 0 // unreachable: the ID was built by requestID
	}
	return n
}

// servedRetention is how long an instance counts as served here. What it spent before is not in any window then.
const servedRetention = time.Minute

func (a *Allocator) removeSilentOwners(now time.Duration) {
	maps.DeleteFunc(a.served, func(_ string, at time.Duration) bool { return now-at > servedRetention })
	for name, o := range a.owners {
		if now-o.lastSeen <= ownerTimeout {
			continue
		}
		a.core.DetachOwner(name)
		a.silent[name] = o.incarnation
		delete(a.owners, name)
		a.updateQuotaShare(now)
		a.options.Logger.Warn().Str("peer", name).Dur("silent", now-o.lastSeen).
			Msg("entry instance is silent; its waiting requests are removed")
	}
}
