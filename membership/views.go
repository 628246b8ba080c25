package membership

// Pollers returns the names of up to count instances that poll an engine. They are selected by rendezvous
// hashing among the alive instances of the engine's data centre, and among others when there are too few. All
// instances with the same view select the same ones.
func Pollers(engine, dataCentre string, instances []Instance, count int) []string {
	type candidate struct {
		name   string
		sameDC bool
		weight uint64
	}
	best := make([]candidate, 0, count+1)
	for _, i := range instances {
		if i.State != StateAlive {
			continue
		}
		c := candidate{name: i.Name, sameDC: i.DataCentre == dataCentre, weight: pairWeight(engine, i.Name)}
		at := len(best)
		for at > 0 && (c.sameDC && !best[at-1].sameDC || c.sameDC == best[at-1].sameDC && c.weight > best[at-1].weight) {
			at--
		}
		if at >= count {
			continue
		}
		best = append(best, candidate{})
		copy(best[at+1:], best[at:])
		best[at] = c
		best = best[:min(count, len(best))]
	}
	names := make([]string, 0, len(best))
	for _, c := range best {
		names = append(names, c.name)
	}
	return names
}

// Coverage counts the live instances of a data centre and those among them at which a version is in force.
type Coverage struct {
	Live    int // instances that are alive or suspected
	InForce int // live instances at which the version is in force
}

// InForce returns for each data centre at how many live instances version, or a later one, is in force.
// Failed and leaving instances do not count.
func InForce(version uint64, instances []Instance) map[string]Coverage {
	covered := map[string]Coverage{}
	for _, i := range instances {
		if i.State != StateAlive && i.State != StateSuspected {
			continue
		}
		c := covered[i.DataCentre]
		c.Live++
		if i.Version >= version {
			c.InForce++
		}
		covered[i.DataCentre] = c
	}
	return covered
}
