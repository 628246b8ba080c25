package edge

import (
	"context"
	"fmt"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/boottime"
	"github.com/primrosebeam/primrosebeam/internal/fleet"
)

// partTimeout is how long the transfer of one part of a configuration may take before another control instance
// is asked for it.
const partTimeout = 600 * time.Millisecond

// transfer collects the parts of a configuration, which may come from several control instances.
//
// Invariants: content holds the first bytes of the configuration with the given number; the number never falls and
// exceeds above.
type transfer struct {
	above   uint64 // configurations up to this one are not accepted
	number  uint64 // 0 before the first part
	size    int
	content []byte
}

// UnusablePartError reports a part of a configuration that does not continue the transfer: the control instance
// holds only older configurations, or sent something else than it was asked for.
type UnusablePartError struct {
	Number uint64 // of the configuration that the part belongs to
	Offset int
}

func (e *UnusablePartError) Error() string {
	return fmt.Sprintf("edge: unusable part of configuration %d at byte %d", e.Number, e.Offset)
}

// next returns the request for the next part.
func (t *transfer) next() fleet.Fetch { return fleet.Fetch{Number: t.number, Offset: len(t.content)} }

// add adds a part. The first part of a newer configuration replaces what was collected. It returns
// *UnusablePartError.
func (t *transfer) add(part *fleet.Fetched) error {
	continues := part.Number == t.number && part.Offset == len(t.content) && part.Size == t.size
	restarts := part.Number > max(t.number, t.above) && part.Offset == 0
	isLast := part.Offset+len(part.Part) == part.Size
	if !continues && !restarts || len(part.Part) == 0 || part.Offset+len(part.Part) > part.Size ||
		!isLast && len(part.Part) < fleet.MaxPartBytes {
		return &UnusablePartError{Number: part.Number, Offset: part.Offset}
	}
	if restarts {
		*t = transfer{above: t.above, number: part.Number, size: part.Size}
	}
	t.content = append(t.content, part.Part...)
	return nil
}

func (t *transfer) isComplete() bool { return t.number != 0 && len(t.content) == t.size }

// RunTransfers transfers configurations that control instances have announced, until ctx is cancelled. The calls
// of Run go on meanwhile, and none of both waits for the other.
func (c *controlClient) RunTransfers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.newer:
		}
		for c.isOutdated() && ctx.Err() == nil {
			c.transferNewest(ctx)
		}
	}
}

// isOutdated reports whether a control instance holds a newer configuration than the one in force here. One that
// turned out to be invalid does not count.
func (c *controlClient) isOutdated() bool {
	return c.announced.Load() > max(c.numberInForce(), c.invalid)
}

// transferNewest transfers the newest configuration and puts it in force.
func (c *controlClient) transferNewest(ctx context.Context) {
	begun := boottime.Now()
	t := transfer{above: max(c.numberInForce(), c.invalid)}
	for failures := 0; !t.isComplete(); {
		if ctx.Err() != nil {
			return
		}
		target := c.selectTarget()
		if err := c.fetchPart(ctx, target, &t); err != nil {
			c.recordTransferFailure(target, &t, failures, err)
			failures++
			c.backOff(target)
			time.Sleep(retryDelay)
		}
	}
	if err := c.install(t.number, t.content, boottime.Now().Sub(begun)); err != nil {
		c.invalid = t.number
		c.logger.Error().Uint64("number", t.number).Err(err).Msg("configuration not usable")
		return
	}
	c.requestCall() // renews the lease
}

func (c *controlClient) fetchPart(ctx context.Context, target string, t *transfer) error {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	var part fleet.Fetched
	if err := c.link.Call(ctx, target, fleet.KindFetch, t.next(), &part); err != nil {
		return err
	}
	return t.add(&part)
}

// recordTransferFailure counts a failed call and logs it if it is the first one of a transfer or if their number
// is a power of two.
func (c *controlClient) recordTransferFailure(target string, t *transfer, earlier int, err error) {
	c.failedTransfers.Inc()
	if failures := earlier + 1; failures&(failures-1) == 0 {
		c.logger.Warn().Str("peer", target).Uint64("number", t.number).Int("received", len(t.content)).Int("bytes", t.size).
			Int("failures", failures).Err(err).Msg("part of a configuration not received")
	}
}
