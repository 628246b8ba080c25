package control

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
)

// versionReport states which version is in force at an instance and whether the instance subscribes.
type versionReport struct {
	name        string
	dataCentre  string
	incarnation uint64
	version     configuration.Version
	subscribe   bool
}

// instanceRecord is the latest reported state of an instance.
type instanceRecord struct {
	dataCentre   string
	incarnation  uint64
	version      configuration.Version
	reportedAt   time.Time // time of the last report
	subscribedAt time.Time // time of the last renewal; zero when the instance never subscribed here
}

// versionTable maps instances to the versions that they last reported as in force.
type versionTable map[string]*instanceRecord

// update records a report. Within one incarnation versions only increase, so a report that arrives out of
// order is ignored. A restarted instance may have a lower version than before. A report of an older
// incarnation is ignored unless the newer incarnation has not reported for the duration of the lease.
func (t versionTable) update(r versionReport, now time.Time, lease time.Duration) {
	known, exists := t[r.name]
	if !exists {
		known = &instanceRecord{dataCentre: r.dataCentre, incarnation: r.incarnation}
		t[r.name] = known
	}
	if r.incarnation < known.incarnation && now.Sub(known.reportedAt) < lease {
		return
	}
	if r.incarnation != known.incarnation {
		*known = instanceRecord{dataCentre: r.dataCentre, incarnation: r.incarnation}
	}
	known.reportedAt = now
	known.version = max(known.version, r.version)
	if r.subscribe {
		known.subscribedAt = now
	}
}

// prune removes instances that the membership no longer contains and that have not reported for the
// duration of the lease.
func (t versionTable) prune(members []Member, now time.Time, lease time.Duration) {
	known := make(map[string]bool, len(members))
	for _, member := range members {
		known[member.Name] = true
	}
	maps.DeleteFunc(t, func(name string, r *instanceRecord) bool {
		return !known[name] && now.Sub(r.reportedAt) > lease
	})
}

// lagging returns the live members at which the version is not known to be in force.
func (t versionTable) lagging(members []Member, version configuration.Version) []string {
	var names []string
	for _, member := range members {
		if member.Live && !t.hasVersion(member.Name, version) {
			names = append(names, member.Name)
		}
	}
	return names
}

func (t versionTable) hasVersion(name string, version configuration.Version) bool {
	known, exists := t[name]
	return exists && known.version >= version
}

// withReporting returns the members and the instances that reported recently but are not known to the
// membership yet. A replica that has just started knows few members and would otherwise consider a version
// in force everywhere.
func (t versionTable) withReporting(members []Member, now time.Time, lease time.Duration) []Member {
	known := make(map[string]bool, len(members))
	for _, member := range members {
		known[member.Name] = true
	}
	all := slices.Clone(members)
	for name, r := range t {
		if !known[name] && now.Sub(r.reportedAt) <= lease {
			all = append(all, Member{Name: name, DataCentre: r.dataCentre, Live: true, State: "reported"})
		}
	}
	return all
}

// missing returns the data centres where the version is not in force, sorted: those with a live member
// that lacks it, and those without any live member, about which nothing is known. An isolated data centre
// therefore never counts as having a version that it cannot have received. dataCentres lists the data
// centres that exist whether or not a member is known there.
func (t versionTable) missing(members []Member, dataCentres []string, version configuration.Version) []string {
	inForce := map[string]bool{}
	for _, dataCentre := range dataCentres {
		inForce[dataCentre] = false
	}
	for _, member := range members {
		if _, seen := inForce[member.DataCentre]; !seen {
			inForce[member.DataCentre] = false
		}
		if member.Live && t.hasVersion(member.Name, version) {
			inForce[member.DataCentre] = true
		}
	}
	for _, member := range members {
		if member.Live && !t.hasVersion(member.Name, version) {
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
