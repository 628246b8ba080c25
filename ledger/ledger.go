// Package ledger implements the state machine of an owner of idempotency keys. The owner decides which
// instance may dispatch a keyed request, at most once per key, and stores the outcome.
//
// An instance first claims a key; the claim is kept in memory only. Right before it sends the first byte of
// the request to an engine, it begins the key; the begin is written to the journal. The package uses no
// clock, goroutine, I/O or source of randomness of its own: its methods take the current time and return the
// record that the caller must sync before it acknowledges the result. The caller reports the result of the
// sync with Commit or Fail. A Ledger is not safe for concurrent use.
//
// The following rules ensure that a key begins at most once:
//   - Claim grants nothing when the key has an entry, and Begin creates the entry, so no fence is issued
//     after a begin.
//   - Begin requires the latest fence of the key. Fences never repeat: the generation increases within an
//     epoch, and the epoch increases with every start. A late begin after a new claim or a restart is
//     therefore stale.
//   - Begin is acknowledged only after its record is synced, so an acknowledged begin survives a crash.
//   - An entry is removed only after its key has expired according to the highest time observed. A snapshot
//     without the entry contains that time, so the key remains expired even when the clock is set back.
//   - Loss of the disk includes loss of the secret and the incarnation. Keys of another incarnation are never
//     granted.
package ledger

import (
	"time"
	"unique"
)

// Default values of Limits.
const (
	DefaultKeys                 = 1 << 20          // about 210 MB when all have begun, without stored responses
	DefaultStoredResponseBytes  = 32 << 20         // bytes of all stored responses of one owner
	DefaultResponseBytes        = 64 << 10         // bytes of one stored response
	DefaultClaimLifetime        = time.Hour        // exceeds the queueing time of any request
	DefaultRetentionAfterExpiry = 10 * time.Minute // exceeds the duration of any response after expiry of its key
)

// Limits bounds the memory and the retention times of an owner. A zero value selects the default.
type Limits struct {
	// Keys is the maximum number of live keys, claimed or stored. A workspace may use at most as many keys as
	// are free, so one workspace uses at most half of them and two use at most two thirds, and keys always
	// remain available to a new workspace.
	Keys int
	// KeysPerWorkspace is an additional limit on the live keys of one workspace; 0 means no additional limit.
	KeysPerWorkspace int
	// StoredResponseBytes is the maximum total size of stored responses. It is shared between workspaces by
	// the rule described at Keys; a new response evicts older ones of the same workspace.
	StoredResponseBytes int
	// ResponseBytes is the maximum size of the header and body of one stored response. Of a longer response
	// only the status is stored.
	ResponseBytes int
	// ClaimLifetime is the time after which a claim without a begin is removed. A later begin is stale.
	ClaimLifetime time.Duration
	// RetentionAfterExpiry is the time for which an entry is kept after its key has expired.
	RetentionAfterExpiry time.Duration
}

// withDefaults returns o with every zero value replaced by its default.
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

// Identity identifies one lifetime of an owner's disk and one start of its process.
type Identity struct {
	Incarnation uint64 // random number generated together with the secret
	Epoch       uint64 // number of the start, higher than that of every earlier start
	Secret      []byte // key of the MACs, at least MinSecretBytes long
}

// Ledger is the state of one owner of idempotency keys.
type Ledger struct {
	owner       string
	incarnation uint64
	signer      *signer
	epoch       uint64
	limits      Limits

	storedIncarnation uint64 // incarnation in the replayed journal
	storedEpoch       uint64 // epoch in the replayed journal

	generation    uint64
	highestTime   int64 // highest time observed, in Unix milliseconds; determines which keys have expired
	timeWritten   int64 // highest time in a returned record, in Unix milliseconds
	timeCommitted int64 // highest time in a synced record, in Unix milliseconds
	lastClaimScan int64 // time of the last search for expired claims, in Unix milliseconds

	claims              map[ID]claim
	keys                map[ID]*entry
	removals            map[int64][]ID // stored keys by the minute of their removal, counted from the Unix epoch
	workspaces          map[string]*workspaceUsage
	storedResponseBytes int

	recordsWritten   uint64 // number of records returned
	recordsCommitted uint64 // number of records reported as synced
	failure          error  // error of the journal, nil while it accepts records
}

// claim is the right of one instance to begin a key. Claims are lost when the process ends; a begin under a
// lost claim is stale.
type claim struct {
	generation  uint64
	holder      unique.Handle[string]
	fingerprint Fingerprint
	expiry      int64 // expiry of the key, in Unix milliseconds
	claimedAt   int64 // time of the grant, in Unix milliseconds
	workspace   *workspaceUsage
}

// entry is the state of a key that has begun, or that finished as not-run without a begin.
type entry struct {
	fence        Fence
	fingerprint  Fingerprint
	expiry       int64  // expiry of the key, in Unix milliseconds
	recordNumber uint64 // number of the record that contains this state
	workspace    *workspaceUsage
	holder       unique.Handle[string]
	engine       unique.Handle[string]
	requestID    string
	response     *Response
	outcome      Outcome // OutcomeNone while the request is in progress
}

// New returns an empty ledger. Restore and Replay load stored state; Start must be called before all other
// methods. New returns *InvalidRequestError when the name of the owner is invalid.
func New(owner string, limits Limits) (*Ledger, error) {
	if !validName(owner) {
		return nil, &InvalidRequestError{Field: "owner"}
	}
	l := &Ledger{owner: owner, limits: limits.withDefaults(), claims: map[ID]claim{}}
	l.clear()
	return l, nil
}

// StoredIdentity returns the last incarnation and epoch in the replayed journal, or zeros when it has none.
func (l *Ledger) StoredIdentity() (incarnation, epoch uint64) {
	return l.storedIncarnation, l.storedEpoch
}

// Start begins a new epoch and returns its record, which must be synced before any other call. It removes the
// entries of another incarnation: their keys cannot be verified any more, so the state of these keys is
// undetermined.
// It returns *InvalidRequestError when a field is invalid or the epoch is not higher than every earlier one.
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
	l.advanceTime(now)
	l.lastClaimScan = l.highestTime
	return l.encodeRecord(record{Start: &startRecord{Incarnation: l.incarnation, Epoch: l.epoch}})
}

// Commit reports that all records returned so far are synced.
func (l *Ledger) Commit() {
	l.recordsCommitted = l.recordsWritten
	l.timeCommitted = l.timeWritten
}

// Fail reports that the journal accepts no more records. The state of keys with uncommitted records is
// undetermined from then on.
func (l *Ledger) Fail(err error) {
	l.failure = err
	l.timeWritten = l.timeCommitted
}

// Stats contains the identity and the sizes of a ledger.
type Stats struct {
	Incarnation, Epoch, Generation uint64
	Claims                         int       // number of keys claimed and not begun
	Keys                           int       // number of stored keys
	Workspaces                     int       // number of workspaces with live keys
	CopyBytes                      int       // bytes of stored responses
	HighestTime                    time.Time // highest time observed
}

// Stats returns the current identity and sizes.
func (l *Ledger) Stats() Stats {
	return Stats{
		Incarnation: l.incarnation,
		Epoch:       l.epoch,
		Generation:  l.generation,
		Claims:      len(l.claims),
		Keys:        len(l.keys),
		Workspaces:  len(l.workspaces),
		CopyBytes:   l.storedResponseBytes,
		HighestTime: time.UnixMilli(l.highestTime),
	}
}

// clear removes all stored keys.
func (l *Ledger) clear() {
	l.keys = map[ID]*entry{}
	l.removals = map[int64][]ID{}
	l.workspaces = map[string]*workspaceUsage{}
	l.storedResponseBytes = 0
}

// advanceTime raises the ledger's time to now; the ledger's time never decreases.
func (l *Ledger) advanceTime(now time.Time) { l.highestTime = max(l.highestTime, now.UnixMilli()) }

// checkExpiry returns *ExpiredError when the key has expired. It also returns a record when the journal does
// not yet contain a time at or after the expiry: after a restart the clock may be behind that time, and the
// key must remain expired. It returns *UnavailableError when that record is needed and the journal has failed.
func (l *Ledger) checkExpiry(expiry time.Time) ([]byte, error) {
	if l.highestTime < expiry.UnixMilli() {
		return nil, nil
	}
	if l.timeWritten >= expiry.UnixMilli() {
		return nil, &ExpiredError{Expiry: expiry}
	}
	if l.failure != nil {
		return nil, &UnavailableError{Err: l.failure}
	}
	data, err := l.encodeRecord(record{})
	if err != nil {
		return nil, err
	}
	return data, &ExpiredError{Expiry: expiry}
}

// encodeRecord encodes r with the ledger's current time and counts it as written.
func (l *Ledger) encodeRecord(r record) ([]byte, error) {
	r.Version = recordVersion
	r.Time = l.highestTime
	data, err := encoder.Marshal(r)
	if err != nil {
		return nil, &RecordError{Version: recordVersion, Err: err}
	}
	l.recordsWritten++
	l.timeWritten = l.highestTime
	return data, nil
}
