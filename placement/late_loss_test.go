package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against shared parts that are blocked for long because the loss of the request at fault is reported last.
func TestPartsOfSoundRequestsAreNotBlockedBeforeAllLosses(t *testing.T) {
	is := is.New(t)
	p := newCrashingPool(t, 6)
	for i := range blockAfter {
		engine := p.ids[i]
		add := func(id string, parts ...PartID) RequestID {
			r := testRequestAt(p.now)
			r.ID, r.Parts = RequestID(fmt.Sprint(id, i)), parts
			p.core.AddRunning(r, engine, p.now, 0)
			return r.ID
		}
		sound, deadly, probe := add("sound-", sharedPart, PartID(100+i)), add("deadly-", sharedPart, deadlyPart), add("probe-")
		p.now += 20 * time.Millisecond
		p.core.End(p.now, sound, OutcomeConnectionLost, 0)
		p.core.End(p.now, probe, OutcomeUnreachable, 0)
		p.now += 20 * time.Millisecond // another instance reports later
		p.core.End(p.now, deadly, OutcomeConnectionLost, 0)
		p.core.End(p.now, add("late-probe-"), OutcomeUnreachable, 0)
		p.now += 100 * time.Millisecond
	}
	blocked := p.blockedIDs()
	slices.Sort(blocked)
	is.Equal(blocked, []PartID{sharedPart, deadlyPart})
	is.Equal(p.run(sharedPart, deadlyPart), ReasonBlockedPart)
	is.Equal(p.run(sharedPart, otherPart), Reason(""))
}
