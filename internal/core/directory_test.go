package core

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFewInstancesReadTheDirectory guards against control instances that all read the list of engines when they start
// at once, which exhausts the call rate of the platform, and against instances that never read it while they reach no
// leader.
func TestFewInstancesReadTheDirectory(t *testing.T) {
	const never, long = time.Hour, time.Hour
	for _, test := range []struct {
		name string
		need directoryNeed
		read bool
	}{
		{"leader, just started", directoryNeed{leads: true, leaderKnown: true, age: never}, true},
		{"no leader yet, just started", directoryNeed{age: never, uptime: time.Second}, false},
		{"no leader", directoryNeed{age: never, uptime: directoryMaxAge + 1}, true},
		{"no leader, recent list", directoryNeed{age: time.Second, uptime: long}, false},
		{"cut off from the leader", directoryNeed{age: directoryMaxAge + 1, uptime: long}, true},
		{"leader known, which has just started to read", directoryNeed{leaderKnown: true, age: never, uptime: 2 * time.Second}, false},
		{"leader known, recent list", directoryNeed{leaderKnown: true, age: time.Second, uptime: long}, false},
		{"leader known, which does not read", directoryNeed{leaderKnown: true, age: directoryMaxAge + 1, uptime: long}, true},
		{"leader known, which has not read since the start", directoryNeed{leaderKnown: true, age: never, uptime: directoryStartGrace + 1}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(mustReadDirectory(test.need), test.read)
		})
	}
}
