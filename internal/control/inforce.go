package control

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
)

// report is what an instance says of itself.
type report struct {
	name        string
	dataCentre  string
	incarnation uint64
	version     configuration.Version
	subscribe   bool
}

// record is the newest report of an instance.
type record struct {
	dataCentre  string
	incarnation uint64
	version     configuration.Version
	at          time.Time
	subscribed  time.Time // renewed last; zero when it never subscribed here
}

// table is what a replica knows of the versions in force at the instances.
type table map[string]*record

// note takes a report. Within one incarnation versions only grow, so a report that was overtaken
// is ignored. A restarted instance may have a lower version than before; a report of an older
// incarnation is ignored unless the newer one has been silent for the time that lease states.
func (t table) note(r report, now time.Time, lease time.Duration) {
	known, exists := t[r.name]
	if !exists {
		known = &record{dataCentre: r.dataCentre, incarnation: r.incarnation}
		t[r.name] = known
	}
	if r.incarnation < known.incarnation && now.Sub(known.at) < lease {
		return
	}
	if r.incarnation != known.incarnation {
		*known = record{dataCentre: r.dataCentre, incarnation: r.incarnation}
	}
	known.at = now
	known.version = max(known.version, r.version)
	if r.subscribe {
		known.subscribed = now
	}
}

// forget drops instances that the membership no longer knows and that are silent.
func (t table) forget(members []Member, now time.Time, lease time.Duration) {
	known := make(map[string]bool, len(members))
	for _, member := range members {
		known[member.Name] = true
	}
	maps.DeleteFunc(t, func(name string, r *record) bool { return !known[name] && now.Sub(r.at) > lease })
}

// lacking returns the live members at which the version is not known to be in force.
func (t table) lacking(members []Member, version configuration.Version) []string {
	var names []string
	for _, member := range members {
		if member.Live && !t.has(member.Name, version) {
			names = append(names, member.Name)
		}
	}
	return names
}

func (t table) has(name string, version configuration.Version) bool {
	known, exists := t[name]
	return exists && known.version >= version
}

// with adds the instances that reported lately and that the membership does not know yet. A replica
// that has just started knows few members, and would otherwise take a version for being in force
// everywhere.
func (t table) with(members []Member, now time.Time, lease time.Duration) []Member {
	known := make(map[string]bool, len(members))
	for _, member := range members {
		known[member.Name] = true
	}
	all := slices.Clone(members)
	for name, r := range t {
		if !known[name] && now.Sub(r.at) <= lease {
			all = append(all, Member{Name: name, DataCentre: r.dataCentre, Live: true, State: "reported"})
		}
	}
	return all
}

// missing returns the data centres where the version is not in force, sorted: those with a live
// member that lacks it, and those without any live member, about which nothing is known. An
// isolated data centre therefore never counts as having a version that it cannot have received.
// centres are the data centres that exist whether or not a member is known there.
func (t table) missing(members []Member, centres []string, version configuration.Version) []string {
	inForce := map[string]bool{}
	for _, centre := range centres {
		inForce[centre] = false
	}
	for _, member := range members {
		if _, seen := inForce[member.DataCentre]; !seen {
			inForce[member.DataCentre] = false
		}
		if member.Live && t.has(member.Name, version) {
			inForce[member.DataCentre] = true
		}
	}
	for _, member := range members {
		if member.Live && !t.has(member.Name, version) {
			inForce[member.DataCentre] = false
		}
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(inForce)) {
		if !inForce[name] {
			names = append(names, name)
		}
	}
	return names
}
