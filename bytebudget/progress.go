package bytebudget

import "time"

// MinProgress is the number of bytes that a transfer must bring within a window.
const MinProgress = 1 << 10

// Progress watches a transfer for least progress over a window. The zero value is one that has not begun.
type Progress struct {
	begun bool
	bytes int64         // at the start of the window
	since time.Duration // start of the window
}

// IsStalled takes the number of bytes transferred so far and reports whether fewer than MinProgress of them came within
// the window that ends now.
func (p *Progress) IsStalled(now, window time.Duration, bytes int64) bool {
	if !p.begun || bytes-p.bytes >= MinProgress {
		*p = Progress{begun: true, bytes: bytes, since: now}
		return false
	}
	return now-p.since >= window
}

// End makes the next call begin a new transfer.
func (p *Progress) End() { p.begun = false }
