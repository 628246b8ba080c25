package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/boottime"
)

// TestGoneInstancesAreNotCounted guards against quota shares that stay too small because the number of entry
// instances that a former leader reported is kept for ever.
func TestGoneInstancesAreNotCounted(t *testing.T) {
	is := is.New(t)
	h := newHub(nil)
	h.recordCall("10.0.0.1")
	h.setReportedEntries(9)
	is.Equal(h.entryCount(), 9)
	h.reportedAt = boottime.Now().Add(-entryRetention - time.Second)
	is.Equal(h.entryCount(), 1)
	h.known["10.0.0.2"] = boottime.Now().Add(-entryRetention - time.Second)
	is.Equal(h.entryCount(), 1)
}
