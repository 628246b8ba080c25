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
	// attachedFor is how long an entry instance counts as attached after its last call; it calls every 200 ms.
	attachedFor = time.Second
	// knownFor is how long an entry instance counts as part of the system after it was last heard: an
	// instance that is cut off still spends its part of the quotas.
	knownFor = 15 * time.Second
)

// hub serves the entry instances that are attached to this instance.
type hub struct {
	core *Core

	mu       sync.Mutex
	attached map[string]boottime.Time // entry instance to its last call here
	known    map[string]boottime.Time // entry instance to when it was last heard anywhere
	reported int                      // number of entry instances that the leader knows
}

func newHub(c *Core) *hub {
	return &hub{core: c, attached: map[string]boottime.Time{}, known: map[string]boottime.Time{}}
}

func (h *hub) handleAttach(ctx context.Context, from link.Sender, body []byte) (any, error) {
	var request fleet.Attach
	if err := link.Decode(body, &request); err != nil {
		return nil, err
	}
	h.heard(from.Name)
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	confirmed, err := h.core.confirm(ctx, false)
	reply := fleet.Attached{
		Confirmed: confirmed.Number, IsConfirmed: err == nil,
		ControlInstances: h.core.controlInstances(), DataCentre: h.core.options.Settings.DataCentre, EntryInstances: h.entries(),
	}
	if leader, err := h.core.leaderName(); err == nil {
		reply.Leader = leader
	}
	if current := h.core.register.Current(); current.Number > request.Number {
		reply.Number, reply.Content = current.Number, current.Content
	}
	reply.Engines = h.core.directory.Export(request.EnginesDigest)
	return reply, nil
}

func (h *hub) heard(name string) {
	now := boottime.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attached[name] = now
	h.known[name] = now
}

// learnAttached takes the entry instances that are attached to another control instance.
func (h *hub) learnAttached(_ string, names []string) {
	now := boottime.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range names {
		h.known[name] = now
	}
}

func (h *hub) learnEntries(count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reported = count
}

// attachedNames returns the entry instances that called here lately.
func (h *hub) attachedNames() []string {
	now := boottime.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.attached, func(_ string, at boottime.Time) bool { return now.Sub(at) > attachedFor })
	return slices.Sorted(maps.Keys(h.attached))
}

// entries returns the number of entry instances in the whole system, as far as it is known here.
func (h *hub) entries() int {
	now := boottime.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.known, func(_ string, at boottime.Time) bool { return now.Sub(at) > knownFor })
	return max(len(h.known), h.reported)
}

// notify asks the attached instances to call again at once. A notice that is lost costs the time until
// their next regular call.
func (h *hub) notify() {
	for _, name := range h.attachedNames() {
		if err := h.core.link.Send(name, fleet.KindChanged, struct{}{}); err != nil {
			h.core.options.Logger.Debug().Str("peer", name).Err(err).Msg("notice not sent")
		}
	}
}

func (h *hub) state() any {
	return struct {
		Attached []string
		Entries  int
	}{h.attachedNames(), h.entries()}
}

func sortedKeys(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
