package claims

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/ledger"
)

const (
	// DefaultCallTimeout is the default time limit of one message. It is much longer than a sync and a round
	// trip between data centres, and short compared with the deadlines of callers.
	DefaultCallTimeout = 2 * time.Second
	// DefaultMintTimeout is the default time limit of one attempt to mint keys while another owner is left to try. It
	// is short enough to try that one before the caller's deadline.
	DefaultMintTimeout = 500 * time.Millisecond
	// mintBackoff is the time for which an owner that failed to mint keys is tried after all other owners.
	mintBackoff = 2 * time.Second
)

// OwnerInfo describes a ledger owner.
type OwnerInfo struct {
	Name       string
	DataCentre string
}

// ClientOptions contains the parameters of NewClient.
type ClientOptions struct {
	Name          string             // name of this instance, which is the holder of its claims
	DataCentre    string             // data centre of this instance
	Caller        link.Caller        // sends messages to the other instances
	Owners        func() []OwnerInfo // returns the owners that are probably reachable; used for minting only
	Local         ledger.Service     // owner in this process, or nil
	CallTimeout   time.Duration      // time limit of one message; 0 means DefaultCallTimeout
	MintTimeout   time.Duration      // time limit of an attempt to mint that is not the last; 0 means DefaultMintTimeout
	ResponseBytes int                // larger responses are reduced to their status; 0 means the ledger's default
	Random        *rand.Rand         // selects owners for minting; nil means a source with a random seed
	Now           func() time.Time   // clock; nil means time.Now
	Metrics       *metrics.Set       // nil means a set that is not exposed
}

// Client implements ledger.Service by routing each request to the owner of its key. It is safe for concurrent
// use.
type Client struct {
	options ClientOptions

	mu           sync.Mutex           // guards the fields below and options.Random
	backoffUntil map[string]time.Time // end of the mintBackoff, by owner
}

var _, _ ledger.Service = (*Client)(nil), (*Owner)(nil)

// NewClient returns a client.
func NewClient(o ClientOptions) *Client {
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.MintTimeout == 0 {
		o.MintTimeout = DefaultMintTimeout
	}
	if o.ResponseBytes == 0 {
		o.ResponseBytes = ledger.DefaultResponseBytes
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return &Client{options: o, backoffUntil: map[string]time.Time{}}
}

// Mint tries the owners one after the other, starting with those in the data centre of this instance. Trying
// another owner after an error is safe, because minting stores nothing. It returns *NoOwnerError or
// *ledger.InvalidRequestError.
func (c *Client) Mint(ctx context.Context, r ledger.MintRequest) ([]ledger.Key, error) {
	var lastError error
	owners := c.mintOrder()
	for n, owner := range owners {
		limit := c.options.MintTimeout
		if n == len(owners)-1 {
			limit = c.options.CallTimeout
		}
		keys, err := c.mintAt(ctx, owner, limit, r)
		if err == nil {
			return keys, nil
		}
		var invalid *ledger.InvalidRequestError
		if errors.As(err, &invalid) {
			return nil, err
		}
		lastError = err
		c.startBackoff(owner)
		if ctx.Err() != nil {
			break
		}
	}
	return nil, &NoOwnerError{Err: lastError}
}

func (c *Client) mintAt(ctx context.Context, owner string, limit time.Duration, r ledger.MintRequest) ([]ledger.Key, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if c.isLocal(owner) {
		return c.options.Local.Mint(ctx, r)
	}
	var reply MintReply
	if err := c.call(ctx, owner, KindMint, r, &reply, ""); err != nil {
		return nil, err
	}
	return reply.Keys, nil
}

// mintOrder returns the names of the owners in the order in which Mint tries them. Owners that failed
// recently are last. Among the others, and among those that failed, owners in the data centre of this
// instance are first. The order is otherwise random, which spreads the load.
func (c *Client) mintOrder() []string {
	owners := slices.Clone(c.options.Owners())
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.options.Random.Shuffle(len(owners), func(i, j int) { owners[i], owners[j] = owners[j], owners[i] })
	rank := func(o OwnerInfo) int {
		rank := 0
		if now.Before(c.backoffUntil[o.Name]) {
			rank += 2
		}
		if o.DataCentre != c.options.DataCentre {
			rank++
		}
		return rank
	}
	slices.SortStableFunc(owners, func(a, b OwnerInfo) int { return rank(a) - rank(b) })
	names := make([]string, len(owners))
	for i, o := range owners {
		names[i] = o.Name
	}
	return names
}

func (c *Client) startBackoff(owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffUntil[owner] = c.options.Now().Add(mintBackoff)
}

// Claim implements ledger.Service.
func (c *Client) Claim(ctx context.Context, r ledger.ClaimRequest) (grant ledger.Grant, err error) {
	r.Holder = c.options.Name
	err = c.route(ctx, r.Key, KindClaim, r, &grant, func(ctx context.Context) (err error) {
		grant, err = c.options.Local.Claim(ctx, r)
		return err
	})
	return grant, err
}

// Begin implements ledger.Service. After any error the instance must not send a byte of the request. It may
// report not-run to the caller only if Complete succeeds with ledger.OutcomeNotRun.
func (c *Client) Begin(ctx context.Context, r ledger.BeginRequest) error {
	r.Holder = c.options.Name
	return c.route(ctx, r.Key, KindBegin, r, &Acknowledgement{}, func(ctx context.Context) error {
		return c.options.Local.Begin(ctx, r)
	})
}

// Release implements ledger.Service.
func (c *Client) Release(ctx context.Context, r ledger.ReleaseRequest) error {
	r.Holder = c.options.Name
	return c.route(ctx, r.Key, KindRelease, r, &Acknowledgement{}, func(ctx context.Context) error {
		return c.options.Local.Release(ctx, r)
	})
}

// Complete implements ledger.Service.
func (c *Client) Complete(ctx context.Context, r ledger.CompleteRequest) error {
	r.Holder = c.options.Name
	r.Response = r.Response.Bounded(c.options.ResponseBytes)
	return c.route(ctx, r.Key, KindComplete, r, &Acknowledgement{}, func(ctx context.Context) error {
		return c.options.Local.Complete(ctx, r)
	})
}

// Lookup implements ledger.Service.
func (c *Client) Lookup(ctx context.Context, r ledger.LookupRequest) (status ledger.Status, err error) {
	err = c.route(ctx, r.Key, KindLookup, r, &status, func(ctx context.Context) (err error) {
		status, err = c.options.Local.Lookup(ctx, r)
		return err
	})
	return status, err
}

// route sends a request to the owner named in the key, or calls local if that is the owner in this process.
func (c *Client) route(
	ctx context.Context, key ledger.Key, kind link.Kind, request, reply any, local func(context.Context) error,
) error {
	parts, err := key.Parse()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	if c.isLocal(parts.Owner) {
		return local(ctx)
	}
	return c.call(ctx, parts.Owner, kind, request, reply, key)
}

func (c *Client) isLocal(owner string) bool {
	return c.options.Local != nil && owner == c.options.Name
}

// call sends a request to a remote owner, and converts and counts the error.
func (c *Client) call(ctx context.Context, owner string, kind link.Kind, request, reply any, key ledger.Key) error {
	err := c.options.Caller.Call(ctx, owner, kind, request, reply)
	if err != nil {
		err = convertLinkError(err, owner, request, key)
		c.options.Metrics.GetOrCreateCounter(clientErrorMetric(kind, err)).Inc()
	}
	return err
}
