package scheduler

import "github.com/primrosebeam/primrosebeam/fairshare"

// flow holds the waiting requests of one workspace in one tier of one service. Requests that can no
// longer meet their objective for the first token are late; requests that can are served before them.
type flow struct {
	fairshare.Flow
	workspace   int
	queue       *tierQueue
	onTime      entryList
	late        entryList
	work        float64 // estimated engine time of the waiting requests in seconds
	activeIndex int     // index in tierQueue.active; -1 when no request waits
}

func (f *flow) length() int { return f.onTime.length + f.late.length }

// normalizedWork returns the waiting work divided by the workspace's weight.
func (f *flow) normalizedWork() float64 { return f.work / f.Weight() }

// tierQueue holds the flows of one tier of one service. It serves them by start-time fair queueing,
// with the estimated engine time of a request as its cost.
type tierQueue struct {
	tier     int
	flows    []*flow   // by workspace; nil until used
	active   []*flow   // flows with waiting requests
	retries  entryList // refused requests, which are served before the flows
	shares   fairshare.Set
	waiting  int
	work     float64 // estimated engine time of the waiting requests in seconds
	reserve  float64 // fraction of the engines' reserves that the tier may use
	arriving rate    // estimated engine time of arriving requests
	credit   float64 // engine time in seconds that Tier.MinimumShare still entitles the tier to
}

func (q *tierQueue) flow(workspace int, weight float64) *flow {
	f := q.flows[workspace]
	if f == nil {
		f = &flow{workspace: workspace, queue: q, activeIndex: -1}
		f.SetWeight(weight)
		q.flows[workspace] = f
	}
	return f
}

func (q *tierQueue) add(e *entry, list *entryList) {
	f := e.flow
	list.push(e)
	q.waiting++
	q.work += e.cost
	f.work += e.cost
	if f.activeIndex < 0 && f.length() > 0 {
		f.activeIndex = len(q.active)
		q.active = append(q.active, f)
		q.shares.CatchUp(&f.Flow)
	}
}

func (q *tierQueue) remove(e *entry) {
	f := e.flow
	e.list.remove(e)
	q.waiting--
	q.work = max(q.work-e.cost, 0)
	f.work = max(f.work-e.cost, 0)
	if q.waiting == 0 {
		q.work = 0 // removes accumulated rounding errors
	}
	if f.length() == 0 && f.activeIndex >= 0 {
		q.deactivate(f)
	}
}

func (q *tierQueue) deactivate(f *flow) {
	last := q.active[len(q.active)-1]
	q.active[f.activeIndex] = last
	last.activeIndex = f.activeIndex
	q.active = q.active[:len(q.active)-1]
	f.activeIndex = -1
	if q.waiting == 0 {
		f.work = 0
	}
}

// next returns the flow to serve and the list to take its request from, or nil when no request waits.
// Flows with requests that can meet their objective come first.
func (q *tierQueue) next() (f *flow, list *entryList) {
	var late *flow
	for _, candidate := range q.active {
		if candidate.onTime.length > 0 {
			if f == nil || candidate.Tag() < f.Tag() {
				f = candidate
			}
		} else if late == nil || candidate.Tag() < late.Tag() {
			late = candidate
		}
	}
	if f != nil {
		return f, &f.onTime
	}
	if late != nil {
		return late, &late.late
	}
	return nil, nil
}

// mostOverShare returns the flow with the most waiting work relative to its weight, nil when no flow
// has waiting requests.
func (q *tierQueue) mostOverShare() *flow {
	var worst *flow
	for _, f := range q.active {
		if worst == nil || f.normalizedWork() > worst.normalizedWork() {
			worst = f
		}
	}
	return worst
}

// newest returns the request of the flow that arrived last, nil when none waits.
func (f *flow) newest() *entry {
	a, b := f.onTime.last, f.late.last
	if a == nil || b != nil && b.sequence > a.sequence {
		return b
	}
	return a
}
