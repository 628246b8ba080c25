package placement

// Learned is what a Core has learned about engines and routes. It lets another Core continue without learning
// everything again, after a change of allocator or a restart.
type Learned struct {
	StepMS    float64         `cbor:"1,keyasint"` // see latencyModel
	PrefillMS float64         `cbor:"2,keyasint"`
	Engines   []LearnedEngine `cbor:"3,keyasint,omitempty"`
	Routes    []LearnedRoute  `cbor:"4,keyasint,omitempty"`
	Blocked   []BlockedPart   `cbor:"5,keyasint,omitempty"`
}

// LearnedEngine is what was learned about an engine.
type LearnedEngine struct {
	ID       string  `cbor:"1,keyasint"`
	Slowness float64 `cbor:"2,keyasint"` // relative to the mean of all engines
	Samples  int     `cbor:"3,keyasint"` // number of runs or windows that it was learned from
	// The rest is set if limits are learned.
	Born  int64   `cbor:"4,keyasint,omitempty"` // start of the engine
	Limit float64 `cbor:"5,keyasint,omitempty"` // requests at once
}

// LearnedRoute is what was learned about the requests of a route to a service.
type LearnedRoute struct {
	Service          string  `cbor:"1,keyasint"`
	Route            string  `cbor:"2,keyasint"`
	MeanOutput       float64 `cbor:"3,keyasint"` // tokens
	MeanSize         float64 `cbor:"4,keyasint"` // prompt tokens
	LongestTimeoutMS int64   `cbor:"5,keyasint,omitempty"`
	Samples          int     `cbor:"6,keyasint"` // number of responses that MeanOutput was learned from
}

// maxLearnedRatio bounds learned values relative to their initial ones when they are taken over, since they may come
// from a damaged file or another version of this program.
const maxLearnedRatio = 100

// Learned returns what this core has learned.
func (c *Core) Learned() Learned {
	l := Learned{StepMS: c.latency.stepMS, PrefillMS: c.latency.prefillMS}
	for id, e := range c.engines {
		if e.slownessSamples > 0 {
			learned := LearnedEngine{ID: id, Slowness: e.slowness, Samples: e.slownessSamples}
			e.learnedLimits(&learned)
			l.Engines = append(l.Engines, learned)
		}
	}
	for _, s := range c.services {
		for route, stats := range s.routes {
			if stats.outputSamples > 0 {
				l.Routes = append(l.Routes, LearnedRoute{
					Service: s.name, Route: route, MeanOutput: stats.meanOutput, MeanSize: stats.meanSize,
					LongestTimeoutMS: stats.longestTimeout.Milliseconds(), Samples: stats.outputSamples,
				})
			}
		}
	}
	return l
}

// TakeOver adopts what another core has learned about engines and routes from more samples than this one. Values
// that no core learns are ignored.
func (c *Core) TakeOver(l Learned) {
	c.learnedSlowness = make(map[string]LearnedEngine, len(l.Engines))
	better := 0
	for _, engine := range l.Engines {
		if engine.Samples <= 0 || !plausible(engine.Slowness, 1) {
			continue
		}
		// Engines may be listed later than they are taken over.
		e := c.engines[engine.ID]
		switch {
		case e == nil:
			c.learnedSlowness[engine.ID] = engine
		case engine.Samples > e.slownessSamples && !e.resumeLimits(&engine):
			e.slowness, e.slownessSamples = engine.Slowness, engine.Samples
			better++
		}
	}
	if (better > 0 || len(c.engines) == 0) && plausible(l.StepMS, nominalStepMS) && plausible(l.PrefillMS, nominalPrefillMS) {
		c.latency.stepMS, c.latency.prefillMS = l.StepMS, l.PrefillMS // slowness is relative to them
	}
	for _, route := range l.Routes {
		stats := c.service(route.Service).routeStats(route.Route)
		if route.Samples > stats.outputSamples && plausible(route.MeanOutput, defaultOutputTokens) && route.MeanSize > 0 {
			stats.meanOutput, stats.meanSize, stats.outputSamples = route.MeanOutput, route.MeanSize, route.Samples
			stats.longestTimeout = max(stats.longestTimeout, milliseconds(float64(route.LongestTimeoutMS)))
		}
	}
}

// plausible reports whether a learned value is within maxLearnedRatio of its initial one.
func plausible(value, initial float64) bool {
	return value >= initial/maxLearnedRatio && value <= initial*maxLearnedRatio
}
