package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/placement"
)

func TestTableKeepsRecordsForRetention(t *testing.T) {
	is := is.New(t)
	table := &Table{}
	const interval = 100 * time.Millisecond
	added := func(at time.Duration) Attempt { return Attempt(at) }
	for now := time.Duration(0); now < 5*Retention; now += interval {
		table.Add(now, Record{Attempt: added(now), Origin: Origin{"s", "v1"}})
		_, known := table.Find(added(max(now-Retention, 0)))
		is.True(known)
		if old := now - 2*Retention - interval; old >= 0 {
			_, known = table.Find(added(old))
			is.True(!known)
		}
	}
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := &Table{}
	for i := range 3 * maxRecords {
		table.Add(0, Record{Attempt: Attempt(i)})
	}
	is.True(len(table.Records(10*maxRecords)) <= 2*maxRecords)
	is.Equal(len(table.Records(7)), 7)
	_, known := table.Find(Attempt(3*maxRecords - 1))
	is.True(known)
}

func engines(versions ...string) []placement.Engine {
	var list []placement.Engine
	for i, version := range versions {
		list = append(list, placement.Engine{ID: fmt.Sprint(i), Service: "s", Version: version})
	}
	return append(list, placement.Engine{ID: "other", Service: "other", Version: "v9"})
}

// Guards against a version that is taken for the only one although streams of another may still be taken up.
func TestOnlyVersion(t *testing.T) {
	const s = time.Second
	type list struct {
		at      time.Duration
		engines []placement.Engine
	}
	tests := []struct {
		name    string
		lists   []list
		now     time.Duration
		stale   bool
		version string // empty if there is not only one
	}{
		{"no list", nil, 100 * s, false, ""},
		{"short history", []list{{0, engines("v1")}}, minWindow - 1, false, ""},
		{"one version", []list{{0, engines("v1", "v1")}}, minWindow, false, "v1"},
		{"one version, stale list", []list{{0, engines("v1")}}, 2 * minWindow, true, ""},
		{"two versions", []list{{0, engines("v1", "v2")}}, 2 * minWindow, false, ""},
		{"former version just left", []list{{0, engines("v1", "v2")}, {100 * s, engines("v2")}}, 100*s + minWindow, false, ""},
		{"former version long gone", []list{{0, engines("v1", "v2")}, {100 * s, engines("v2")}}, 100*s + minWindow + 1, false, "v2"},
		{"former version seen in one list", []list{{0, engines("v1")}, {99 * s, engines("v1", "v2")}, {100 * s, engines("v1")}}, 101 * s, false, ""},
		{"no engine left", []list{{0, engines("v1")}, {100 * s, engines()}}, 200 * s, false, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := &History{}
			for _, l := range test.lists {
				h.Observe(l.at, l.engines)
			}
			version, only := OnlyVersion([]VersionSet{h.Versions(test.now, minWindow, "s", !test.stale)})
			is.Equal(only, test.version != "")
			if only {
				is.Equal(version, test.version)
			}
		})
	}
}

func TestOnlyVersionOfSeveralInstances(t *testing.T) {
	is := is.New(t)
	long, short := VersionSet{[]string{"v1"}, true}, VersionSet{[]string{"v2"}, false}
	_, only := OnlyVersion([]VersionSet{long, short}) // a restarted instance has seen a version that the other missed
	is.True(!only)
	version, only := OnlyVersion([]VersionSet{{}, {[]string{"v1"}, false}, long})
	is.True(only)
	is.Equal(version, "v1")
}

// Guards against streams of a long deadline that go on at another version, because the one that began them was forgotten.
func TestWindowCoversDeadline(t *testing.T) {
	is := is.New(t)
	h := &History{}
	h.Observe(0, engines("v1"))
	h.Observe(time.Hour, engines("v2"))
	const timeout = 3 * time.Minute
	only := func(after time.Duration) bool {
		_, only := OnlyVersion([]VersionSet{h.Versions(time.Hour+after, Window(timeout), "s", true)})
		return only
	}
	is.True(!only(timeout))
	is.True(!only(2 * timeout))
	is.True(only(2*timeout + 1))
	is.True(!h.Versions(2*time.Hour, Window(maxWindow), "s", true).Complete) // longer than what is remembered
}
