// Package ledger is the core of an owner of idempotency keys. It decides which instance may dispatch a keyed
// request, at most once per key, and remembers the outcome.
//
// An instance first claims a key, which is kept in memory, and then begins it right before the first byte goes to
// an engine, which is written to the journal. The package has no clock, goroutine, I/O or randomness of its own:
// methods take the time and return the record that has to be synced before the result is acknowledged. The caller
// reports the sync with Commit or Fail. A Ledger is not safe for concurrent use.
//
// Why a key begins at most once:
//   - Claim grants nothing when an entry exists, and Begin creates the entry, so no fence is handed out after begin.
//   - Begin needs the latest fence of the key. Fences never repeat: the generation grows within an epoch and the
//     epoch grows with every start, so a late begin after a new claim or a restart is stale.
//   - Begin is acknowledged only after its record is synced, so an acknowledged begin survives a crash.
//   - An entry is dropped only after the key has expired by the highest time seen. A snapshot without the entry
//     carries that time, so the key stays expired even when the clock is set back.
//   - A lost disk takes the secret and the incarnation with it. Keys of another incarnation are never granted.
package ledger

import (
	"time"
	"unique"
)

// Defaults of Limits.
const (
	DefaultKeys                 = 1 << 20          // about 210 MB when all are begun, without copies of answers
	DefaultStoredResponseBytes  = 32 << 20         // all copies of answers of one owner
	DefaultResponseBytes        = 64 << 10         // copy of one answer
	DefaultClaimLifetime        = time.Hour        // longer than any request waits in a queue
	DefaultRetentionAfterExpiry = 10 * time.Minute // longer than any answer takes after its key has expired
)

// Limits bound the memory of an owner. Zero values mean the defaults.
type Limits struct {
	// Keys bounds the live keys, claimed or stored. A workspace may have at most as many as are free, so one
	// workspace gets at most half of them, two get two thirds, and a newcomer always finds room.
	Keys int
	// KeysPerWorkspace bounds the live keys of one workspace further; 0 means no further bound.
	KeysPerWorkspace int
	// StoredResponseBytes bounds the copies of answers. The rule of Keys applies; older copies of the same workspace give way.
	StoredResponseBytes int
	// ResponseBytes bounds header and body of one copy. A longer answer is remembered without them.
	ResponseBytes int
	// ClaimLifetime is how long a claim is kept without a begin. A later begin is stale.
	ClaimLifetime time.Duration
	// RetentionAfterExpiry is how long an entry outlives its key's expiry.
	RetentionAfterExpiry time.Duration
}

func (o Limits) withDefaults() Limits {
	if o.Keys == 0 {
		o.Keys = DefaultKeys
	}
	if o.KeysPerWorkspace == 0 {
		o.KeysPerWorkspace = o.Keys
	}
	if o.StoredResponseBytes == 0 {
		o.StoredResponseBytes = DefaultStoredResponseBytes
	}
	if o.ResponseBytes == 0 {
		o.ResponseBytes = DefaultResponseBytes
	}
	if o.ClaimLifetime == 0 {
		o.ClaimLifetime = DefaultClaimLifetime
	}
	if o.RetentionAfterExpiry == 0 {
		o.RetentionAfterExpiry = DefaultRetentionAfterExpiry
	}
	return o
}

// Identity is what distinguishes one life of an owner's disk, and one start of its process, from all others.
type Identity struct {
	Incarnation uint64 // random, made together with the secret
	Epoch       uint64 // higher than that of every earlier start
	Secret      []byte // at least MinSecretBytes
}

// Ledger holds the state of one owner.
type Ledger struct {
	owner       string
	incarnation uint64
	signer      *signer
	epoch       uint64
	limits      Limits

	storedIncarnation uint64 // of the journal that was replayed
	storedEpoch       uint64

	generation    uint64
	highest       int64 // highest time ever seen, in Unix milliseconds; expiry is judged by it
	timeWritten   int64 // highest time in a record
	timeCommitted int64 // highest time in a synced record
	lastClaimScan int64 // Unix milliseconds

	claims     map[ID]claim
	keys       map[ID]*entry
	due        map[int64][]ID // stored keys by the minute in which they are dropped
	workspaces map[string]*workspace
	copyBytes  int

	written   uint64 // records returned
	committed uint64 // records known to be synced
	failure   error  // of the journal
}

// claim is a granted right to begin. It is lost with the process, which makes every begin under it stale.
type claim struct {
	generation  uint64
	holder      unique.Handle[string]
	fingerprint Fingerprint
	expiry      int64 // Unix milliseconds
	claimedAt   int64 // Unix milliseconds
	workspace   *workspace
}

// entry is a key that has begun, or that finished as not-run without a begin.
type entry struct {
	fence       Fence
	fingerprint Fingerprint
	expiry      int64  // Unix milliseconds
	number      uint64 // of the record that holds this state
	workspace   *workspace
	holder      unique.Handle[string]
	engine      unique.Handle[string]
	requestID   string
	response    *Response
	outcome     Outcome // OutcomeNone while in progress
}

// New returns an empty ledger. Restore and Replay fill it; Start must precede everything else.
func New(owner string, limits Limits) (*Ledger, error) {
	if !validName(owner) {
		return nil, &InvalidRequestError{Field: "owner"}
	}
	l := &Ledger{owner: owner, limits: limits.withDefaults(), claims: map[ID]claim{}}
	l.clear()
	return l, nil
}

// StoredIdentity returns the incarnation and the epoch that the replayed journal ends with, or zeros.
func (l *Ledger) StoredIdentity() (incarnation, epoch uint64) {
	return l.storedIncarnation, l.storedEpoch
}

// Start begins a new epoch and returns the record of it, which must be synced before any other call. Entries of
// another incarnation are dropped: their keys cannot be verified any more and are undetermined.
// It returns *InvalidRequestError when the epoch is not above every earlier one.
func (l *Ledger) Start(now time.Time, identity Identity) ([]byte, error) {
	switch {
	case identity.Incarnation == 0:
		return nil, &InvalidRequestError{Field: "incarnation"}
	case len(identity.Secret) < MinSecretBytes:
		return nil, &InvalidRequestError{Field: "secret"}
	case identity.Epoch == 0 || (identity.Incarnation == l.storedIncarnation && identity.Epoch <= l.storedEpoch):
		return nil, &InvalidRequestError{Field: "epoch"}
	}
	if identity.Incarnation != l.storedIncarnation {
		l.clear()
	}
	l.incarnation = identity.Incarnation
	l.epoch = identity.Epoch
	l.signer = newSigner(identity.Secret)
	l.advance(now)
	l.lastClaimScan = l.highest
	return l.record(record{Boot: &bootRecord{Incarnation: l.incarnation, Epoch: l.epoch}})
}

// Commit reports that every record returned so far is synced.
func (l *Ledger) Commit() {
	l.committed = l.written
	l.timeCommitted = l.timeWritten
}

// Fail reports that the journal accepts no more records. What was not committed is undetermined from then on.
func (l *Ledger) Fail(err error) {
	l.failure = err
	l.timeWritten = l.timeCommitted
}

// Stats are the sizes of a ledger.
type Stats struct {
	Incarnation, Epoch, Generation uint64
	Claims                         int // granted and not begun
	Keys                           int // stored
	Workspaces                     int // with live keys
	CopyBytes                      int
	HighestTime                    time.Time
}

// Stats returns the present sizes.
func (l *Ledger) Stats() Stats {
	return Stats{
		Incarnation: l.incarnation,
		Epoch:       l.epoch,
		Generation:  l.generation,
		Claims:      len(l.claims),
		Keys:        len(l.keys),
		Workspaces:  len(l.workspaces),
		CopyBytes:   l.copyBytes,
		HighestTime: time.UnixMilli(l.highest),
	}
}

func (l *Ledger) clear() {
	l.keys = map[ID]*entry{}
	l.due = map[int64][]ID{}
	l.workspaces = map[string]*workspace{}
	l.copyBytes = 0
}

// advance makes the ledger's time follow the clock forwards only.
func (l *Ledger) advance(now time.Time) { l.highest = max(l.highest, now.UnixMilli()) }

// expired returns nil while the key may begin, and otherwise *ExpiredError together with a record when the time
// that proves the expiry is not yet in the journal: after a restart the clock may be behind it.
func (l *Ledger) expired(expiry time.Time) ([]byte, error) {
	if l.highest < expiry.UnixMilli() {
		return nil, nil
	}
	if l.timeWritten >= expiry.UnixMilli() {
		return nil, &ExpiredError{Expiry: expiry}
	}
	if l.failure != nil {
		return nil, &UnavailableError{Err: l.failure}
	}
	data, err := l.record(record{})
	if err != nil {
		return nil, err
	}
	return data, &ExpiredError{Expiry: expiry}
}

// record encodes r with the present time and counts it.
func (l *Ledger) record(r record) ([]byte, error) {
	r.Version = recordVersion
	r.Time = l.highest
	data, err := encoder.Marshal(r)
	if err != nil {
		return nil, &RecordError{Version: recordVersion, Err: err}
	}
	l.written++
	l.timeWritten = l.highest
	return data, nil
}
