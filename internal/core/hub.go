package core

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/boottime"
	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/internal/link"
)

const (
	// attachmentTimeout is how long an entry instance counts as attached after its last call; it calls
	// every 200 ms.
	attachmentTimeout = time.Second
	// entryRetention is how long an entry instance counts as part of the system after its last call to any
	// control instance: a partitioned instance still spends its share of the quotas.
	entryRetention = 15 * time.Second
)

// hub tracks the entry instances and serves those that are attached to this instance.
type hub struct {
	core *ControlInstance

	mu       sync.Mutex
	attached map[string]boottime.Time // entry instance to the time of its last call here
	known    map[string]boottime.Time // entry instance to the last time it was attached anywhere
	// reported is the number of entry instances that the leader knew at reportedAt.
	reported   int
	reportedAt boottime.Time
}

func newHub(c *ControlInstance) *hub {
	return &hub{core: c, attached: map[string]boottime.Time{}, known: map[string]boottime.Time{}}
}

// handleAttach replies to an entry instance with the confirmed configuration number, the known instances,
// the number of the configuration held here if it is newer than that of the entry instance, and the list of
// engines if it differs.
func (h *hub) handleAttach(ctx context.Context, from link.Sender, body []byte) (any, error) {
	var request fleet.Attach
	if err := link.Decode(body, &request); err != nil {
		return nil, err
	}
	h.recordCall(from.Name)
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	confirmed, err := h.core.confirm(ctx, false)
	reply := fleet.Attached{
		Confirmed: confirmed.Number, IsConfirmed: err == nil,
		ControlInstances: h.core.controlInstances(), DataCentre: h.core.options.Settings.DataCentre, EntryInstances: h.entryCount(),
	}
	if leader, err := h.core.leaderName(); err == nil {
		reply.Leader = leader
	}
	if current := h.core.register.Current(); current.Number > request.Number {
		reply.Number = current.Number
	}
	reply.Rollouts = h.core.rollouts.known.List()
	reply.Engines = h.core.directory.Export(request.EnginesDigest)
	return reply, nil
}

// handleFetch replies to an entry instance with a part of a configuration.
func (h *hub) handleFetch(_ context.Context, _ link.Sender, body []byte) (any, error) {
	var request fleet.Fetch
	if err := link.Decode(body, &request); err != nil {
		return nil, err
	}
	return h.core.recent.part(request), nil
}

// recordCall records that an entry instance called this instance.
func (h *hub) recordCall(name string) {
	now := boottime.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attached[name] = now
	h.known[name] = now
}

// recordAttached records the entry instances that are attached to another control instance.
func (h *hub) recordAttached(_ string, names []string) {
	now := boottime.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range names {
		h.known[name] = now
	}
}

// setReportedEntries sets the number of entry instances that the leader knows.
func (h *hub) setReportedEntries(count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reported, h.reportedAt = count, boottime.Now()
}

// attachedNames returns the entry instances that called here within attachmentTimeout.
func (h *hub) attachedNames() []string {
	now := boottime.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.attached, func(_ string, at boottime.Time) bool { return now.Sub(at) > attachmentTimeout })
	return slices.Sorted(maps.Keys(h.attached))
}

// entryCount returns the number of entry instances in the whole system, as far as known here.
func (h *hub) entryCount() int {
	now := boottime.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.known, func(_ string, at boottime.Time) bool { return now.Sub(at) > entryRetention })
	if h.reportedAt == 0 || now.Sub(h.reportedAt) > entryRetention {
		return len(h.known) // this instance leads, or the report is too old
	}
	return max(len(h.known), h.reported)
}

// notifyAttached asks the attached instances to call again immediately. If a notification is lost, the
// instance calls at its next regular interval.
func (h *hub) notifyAttached() {
	for _, name := range h.attachedNames() {
		if err := h.core.link.Send(name, fleet.KindChanged, struct{}{}); err != nil {
			h.core.options.Logger.Debug().Str("peer", name).Err(err).Msg("notification not sent")
		}
	}
}

func (h *hub) state() any {
	return struct {
		Attached []string
		Entries  int
	}{h.attachedNames(), h.entryCount()}
}

func sortedKeys(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
