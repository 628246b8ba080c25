package scheduler

// flow holds the waiting requests of one workspace in one tier of one service. Requests that can
// no longer meet their objective for the first token are late and give way to those that can.
type flow struct {
	workspace int
	group     *group
	weight    float64
	onTime    entryList
	late      entryList
	tag       float64 // virtual start time of the next request
	work      float64 // estimated engine time that waits, in seconds
	activeAt  int     // index in group.active; -1 when nothing waits
}

func (f *flow) length() int { return f.onTime.length + f.late.length }

// excess is the waiting work relative to the workspace's weight.
func (f *flow) excess() float64 { return f.work / f.weight }

// group holds the flows of one tier of one service. It serves them by start-time fair queueing in
// units of estimated engine time.
type group struct {
	tier     int
	flows    []*flow // by workspace; nil until used
	active   []*flow // flows with waiting requests
	retries  entryList
	virtual  float64 // start tag of the request that was dispatched last
	waiting  int
	work     float64
	arriving rate    // estimated engine time of arriving requests
	credit   float64 // engine time that minimumShare still grants, in seconds
}

func (g *group) flow(workspace int, weight float64) *flow {
	f := g.flows[workspace]
	if f == nil {
		f = &flow{workspace: workspace, group: g, weight: weight, activeAt: -1}
		g.flows[workspace] = f
	}
	return f
}

func (g *group) add(e *entry, list *entryList) {
	f := e.flow
	list.push(e)
	g.waiting++
	g.work += e.cost
	f.work += e.cost
	if f.activeAt < 0 && f.length() > 0 {
		f.activeAt = len(g.active)
		g.active = append(g.active, f)
		f.tag = max(f.tag, g.virtual)
	}
}

func (g *group) remove(e *entry) {
	f := e.flow
	e.list.remove(e)
	g.waiting--
	g.work = max(g.work-e.cost, 0)
	f.work = max(f.work-e.cost, 0)
	if g.waiting == 0 {
		g.work = 0 // drops what rounding left over
	}
	if f.length() == 0 && f.activeAt >= 0 {
		g.deactivate(f)
	}
}

func (g *group) deactivate(f *flow) {
	last := g.active[len(g.active)-1]
	g.active[f.activeAt] = last
	last.activeAt = f.activeAt
	g.active = g.active[:len(g.active)-1]
	f.activeAt = -1
	if g.waiting == 0 {
		f.work = 0
	}
}

// next returns the flow that is to be served, nil when none has a request. Flows with requests
// that can meet their objective come first.
func (g *group) next() (f *flow, list *entryList) {
	var late *flow
	for _, candidate := range g.active {
		if candidate.onTime.length > 0 {
			if f == nil || candidate.tag < f.tag {
				f = candidate
			}
		} else if late == nil || candidate.tag < late.tag {
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

// charge advances the flow of a dispatched request by its cost.
func (g *group) charge(f *flow, cost float64) {
	start := max(f.tag, g.virtual)
	g.virtual = start
	f.tag = start + cost/f.weight
}

// furthest returns the flow that holds most work relative to its weight, nil when none waits.
func (g *group) furthest() *flow {
	var worst *flow
	for _, f := range g.active {
		if worst == nil || f.excess() > worst.excess() {
			worst = f
		}
	}
	return worst
}

// newest returns the request of the flow that arrived last.
func (f *flow) newest() *entry {
	a, b := f.onTime.last, f.late.last
	if a == nil || b != nil && b.sequence > a.sequence {
		return b
	}
	return a
}
