package claims

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/ledger"
)

// Kinds of the messages from entry instances to owners.
const (
	KindMint     link.Kind = "claims.mint"
	KindClaim    link.Kind = "claims.claim"
	KindBegin    link.Kind = "claims.begin"
	KindRelease  link.Kind = "claims.release"
	KindComplete link.Kind = "claims.complete"
	KindLookup   link.Kind = "claims.lookup"
)

// Acknowledgement is the empty reply to a message without a result.
type Acknowledgement struct{}

// MintReply is the reply to a message of kind KindMint. It contains the issued keys.
type MintReply struct {
	Keys []ledger.Key `cbor:"1,keyasint"`
}

var messageDecoder = newMessageDecoder()

func newMessageDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:       cbor.DupMapKeyEnforcedAPF,
		IndefLength:     cbor.IndefLengthForbidden,
		TagsMd:          cbor.TagsForbidden,
		MaxNestedLevels: 8,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constants, so an error is a programming mistake.
	}
	return mode
}

// Register registers the message handlers of an owner, for example with the Handle method of a link.Node. The
// holder of a claim is always the authenticated sender; the holder named in the message is ignored.
func Register(handle func(link.Kind, link.Handler), owner ledger.Service) {
	handle(KindMint, handler(func(ctx context.Context, _ link.Sender, r ledger.MintRequest) (any, error) {
		keys, err := owner.Mint(ctx, r)
		return MintReply{Keys: keys}, err
	}))
	handle(KindClaim, handler(func(ctx context.Context, from link.Sender, r ledger.ClaimRequest) (any, error) {
		r.Holder = from.Name
		return owner.Claim(ctx, r)
	}))
	handle(KindBegin, handler(func(ctx context.Context, from link.Sender, r ledger.BeginRequest) (any, error) {
		r.Holder = from.Name
		return Acknowledgement{}, owner.Begin(ctx, r)
	}))
	handle(KindRelease, handler(func(ctx context.Context, from link.Sender, r ledger.ReleaseRequest) (any, error) {
		r.Holder = from.Name
		return Acknowledgement{}, owner.Release(ctx, r)
	}))
	handle(KindComplete, handler(func(ctx context.Context, from link.Sender, r ledger.CompleteRequest) (any, error) {
		r.Holder = from.Name
		return Acknowledgement{}, owner.Complete(ctx, r)
	}))
	handle(KindLookup, handler(func(ctx context.Context, _ link.Sender, r ledger.LookupRequest) (any, error) {
		return owner.Lookup(ctx, r)
	}))
}

// handler returns a link.Handler that decodes the body of a message into an R and passes it to serve.
func handler[R any](serve func(context.Context, link.Sender, R) (any, error)) link.Handler {
	return func(ctx context.Context, from link.Sender, body []byte) (any, error) {
		var r R
		if err := messageDecoder.Unmarshal(body, &r); err != nil {
			return nil, &InvalidMessageError{Err: err}
		}
		reply, err := serve(ctx, from, r)
		if err != nil {
			return nil, err
		}
		return reply, nil
	}
}
