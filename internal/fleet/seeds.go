package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/boottime"
)

// seedsInterval is the time without the other instances after which the settings are read again, and the interval at
// which that is repeated.
const seedsInterval = 2 * time.Second

// Seeds holds the instances that the settings name to begin with. The settings of a running process may change: while an
// instance doesn't find the others, it must not rely on the seeds of its start, which may all be gone. Safe for
// concurrent use.
type Seeds struct {
	read func() ([]string, error)

	mu    sync.Mutex
	names []string
	since boottime.Time // when the others were found or the settings were read for the last time
}

// Seeds returns the seeds of the settings with which the process started.
func (o *Options) Seeds(now boottime.Time) *Seeds {
	return &Seeds{read: o.ReadSeeds, names: o.Settings.SeedAddresses(), since: now}
}

// Names returns the instances that the settings name.
func (s *Seeds) Names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.names)
}

// Observe records whether the other instances are found. It reads the settings again if they have not been found for
// seedsInterval, and returns whether other seeds are named now. The previous ones stay if the settings can't be read or
// name none.
func (s *Seeds) Observe(now boottime.Time, found bool) (changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found || s.read == nil {
		s.since = now
		return false, nil
	}
	if now.Sub(s.since) < seedsInterval {
		return false, nil
	}
	s.since = now
	names, err := s.read()
	if err != nil || len(names) == 0 || slices.Equal(names, s.names) {
		return false, err
	}
	s.names = names
	return true, nil
}
