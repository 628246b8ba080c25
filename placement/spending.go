package placement

import (
	"maps"
	"slices"
	"time"
)

// spendingParts is the number of parts of a quota window by which spending is dated.
const spendingParts = 16

// Spending is what an instance has spent of the quota of a workspace within the last window. Parts[i] is what was spent
// between i and i+1 parts of the window ago, in units.
type Spending struct {
	Workspace string    `cbor:"1,keyasint"`
	Parts     []float64 `cbor:"2,keyasint"`
}

// SpendingLog remembers what an instance has spent within the last window, whoever permitted it. It is not safe for
// concurrent use.
type SpendingLog struct {
	window time.Duration
	spent  map[string]map[int64]float64 // by workspace and number of the part, counted from time 0
}

// NewSpendingLog returns an empty log.
func NewSpendingLog(window time.Duration) *SpendingLog {
	return &SpendingLog{window: window, spent: map[string]map[int64]float64{}}
}

func (l *SpendingLog) part(now time.Duration) int64 {
	return int64(now / max(l.window/spendingParts, 1))
}

// Add records spending, or a refund if units is negative.
func (l *SpendingLog) Add(now time.Duration, workspace string, units float64) {
	if units == 0 {
		return
	}
	parts := l.spent[workspace]
	if parts == nil {
		parts = map[int64]float64{}
		l.spent[workspace] = parts
	}
	current := l.part(now)
	parts[current] += units
	if len(parts) > 2*spendingParts {
		maps.DeleteFunc(parts, func(part int64, _ float64) bool { return current-part > spendingParts })
	}
}

// Recent returns the spending within the last window.
func (l *SpendingLog) Recent(now time.Duration) []Spending {
	current := l.part(now)
	var list []Spending
	for _, workspace := range slices.Sorted(maps.Keys(l.spent)) {
		parts := l.spent[workspace]
		maps.DeleteFunc(parts, func(part int64, _ float64) bool { return current-part > spendingParts })
		if len(parts) == 0 {
			delete(l.spent, workspace)
			continue
		}
		recent := Spending{Workspace: workspace, Parts: make([]float64, spendingParts+1)}
		for part, units := range parts {
			recent.Parts[current-part] += units
		}
		list = append(list, recent)
	}
	return list
}

// datedSpending is spending that counts until a time.
type datedSpending struct {
	until time.Duration
	units float64
}

// formerSpending is what instances have spent by permission of another core. While it counts, what this core permits is
// counted with it, so that both together stay within the quota of a window.
type formerSpending struct {
	counted []datedSpending // in ascending order of until, except for what was taken over
	until   time.Duration   // end of what was taken over; 0 if nothing was
}

func (f *formerSpending) takeOver(now, window time.Duration, s *Spending) {
	for age, units := range s.Parts {
		until := now + window - time.Duration(age)*window/spendingParts
		if until > now && units != 0 {
			f.counted = append(f.counted, datedSpending{until, units})
			f.until = max(f.until, until)
		}
	}
}

// add counts spending by permission of this core.
func (f *formerSpending) add(now, window time.Duration, units float64) {
	if now >= f.until {
		*f = formerSpending{}
		return
	}
	last := len(f.counted) - 1
	if until := now + window; last >= 0 && until-f.counted[last].until < window/spendingParts && until >= f.counted[last].until {
		f.counted[last].until = until
		f.counted[last].units += units
		return
	}
	f.counted = append(f.counted, datedSpending{now + window, units})
}

// total returns the spending that counts now.
func (f *formerSpending) total(now time.Duration) float64 {
	f.counted = slices.DeleteFunc(f.counted, func(d datedSpending) bool { return now >= d.until })
	sum := 0.0
	for _, d := range f.counted {
		sum += d.units
	}
	return sum
}

// earlySpending is spending that was taken over at a time.
type earlySpending struct {
	at   time.Duration
	list []Spending
}

// maxEarly bounds the reports that are kept until the quotas are known.
const maxEarly = 1024

// TakeOverSpending counts what an instance has spent by permission of another core.
func (c *Core) TakeOverSpending(now time.Duration, list []Spending) {
	if !c.quotasKnown {
		if len(c.early) < maxEarly && len(list) > 0 {
			c.early = append(c.early, earlySpending{now, list})
		}
		return
	}
	for i := range list {
		if len(list[i].Parts) > spendingParts+1 {
			continue // from another version of this program
		}
		if q := c.quotas[list[i].Workspace]; q != nil && q.Window > 0 {
			q.former.takeOver(now, q.Window, &list[i])
		}
	}
}

// ForgetSpending forgets what was taken over.
func (c *Core) ForgetSpending() {
	for _, q := range c.quotas {
		q.former = formerSpending{}
	}
}

// permits reports whether a charge stays within the quota of a window together with what another core has permitted.
func (q *tokenBucket) permits(now time.Duration, charge, share float64) bool {
	if now >= q.former.until {
		return true
	}
	limit := share * (q.Rate*q.Window.Seconds() + q.Burst)
	if share == 1 {
		limit += q.Slack
	}
	return q.former.total(now)+charge <= limit
}
