package configuration

import (
	"fmt"
	"slices"
	"sync"
)

// StoreOptions configures a Store.
type StoreOptions struct {
	// OnVersion is called from Apply and Restore with every new version; it must not block. Optional.
	OnVersion func(Version, *Document)
	// RememberedChanges is the size of the table of change IDs; 0 means MaxRememberedChanges. It has to
	// be the same on all replicas, since it decides which resends are recognised.
	RememberedChanges int
}

// Store is the replicated state machine of the configuration. Apply, Snapshot and Restore are
// called by one replica in the order of the log; the other methods are safe at any time.
// Equal logs give equal states: nothing depends on time, chance or the order of a map.
type Store struct {
	options StoreOptions

	mu       sync.RWMutex
	version  Version
	document *Document
	results  map[string]remembered
	order    []string // change IDs in order of arrival, a circle once it is full
	oldest   int      // index into order of the next ID to evict
	size     int      // bytes that the encoded document has at most; 0 when unknown; not replicated
	recent   []Edit   // small edits that led to the current version, oldest first; not replicated
}

// maxRecentEdits bounds the small edits that a subscriber can catch up by. With 570 changes a day
// they cover more than an hour of an instance that was away.
const maxRecentEdits = 32

type remembered struct {
	digest Digest
	result Result
}

// NewStore returns an empty store: version 0, no document.
func NewStore(o StoreOptions) *Store {
	if o.RememberedChanges <= 0 {
		o.RememberedChanges = MaxRememberedChanges
	}
	return &Store{options: o, results: map[string]remembered{}}
}

// Current returns the newest version and its document, which must not be changed. Version 0 has no document.
func (s *Store) Current() (Version, *Document) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.version, s.document
}

// Lookup returns the result of a change as long as its ID is remembered.
func (s *Store) Lookup(id string) (Result, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	found, ok := s.results[id]
	return found.result, ok
}

// Apply carries out one log entry. It returns a Result, or an error: *ReusedIDError, or those of
// DecodeChange for an entry that is no change. An error leaves the store as it was.
func (s *Store) Apply(_ uint64, data []byte) any {
	change, err := DecodeChange(data)
	if err != nil {
		return err
	}
	content, err := digest(&change)
	if err != nil {
		return err
	}
	result, changed, err := s.change(&change, content)
	if err != nil {
		return err
	}
	if changed {
		s.announce()
	}
	return result
}

func (s *Store) change(change *Change, content Digest) (result Result, changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first, known := s.results[change.ID]; known {
		if first.digest != content {
			return Result{}, false, &ReusedIDError{ID: change.ID}
		}
		return first.result, false, nil
	}
	result, document, size := s.decide(change)
	if result.Status == StatusAccepted {
		s.keepRecent(change.Edit, document)
		s.version = result.Version
		s.document = document
		s.size = size
	}
	s.remember(change.ID, remembered{digest: content, result: result})
	return result, result.Status == StatusAccepted, nil
}

// decide compares the base with the current version and judges the whole edited document. For an
// accepted change it returns the document and a bound on its encoded size.
func (s *Store) decide(change *Change) (Result, *Document, int) {
	if change.Base != s.version {
		return Result{Status: StatusConflict, Version: s.version}, nil, 0
	}
	edited, fault := change.Edit.apply(s.document)
	if fault != nil {
		return s.invalid([]Fault{*fault}), nil, 0
	}
	if faults := faultsOf(edited); len(faults) > 0 {
		return s.invalid(faults), nil, 0
	}
	size, err := s.sizeAfter(change.Edit, edited)
	if err != nil {
		return s.invalid([]Fault{{Line: 1, Reason: ReasonTooLong, Detail: err.Error()}}), nil, 0
	}
	return Result{Status: StatusAccepted, Version: s.version + 1}, edited, size
}

func (s *Store) invalid(faults []Fault) Result {
	return Result{Status: StatusInvalid, Version: s.version, Faults: boundFaults(faults)}
}

// sizeAfter returns a bound on the encoded size of the edited document, or *TooLargeError when the
// size exceeds MaxDocumentBytes: small edits may push a valid document over what the links carry.
// The document is only encoded when the bound is unknown or too high, so the verdict does not
// depend on the bound, which replicas may hold differently.
func (s *Store) sizeAfter(edit Edit, edited *Document) (int, error) {
	if growth := edit.growth(); edit.Apply == nil && s.size > 0 && s.size+growth <= MaxDocumentBytes {
		return s.size + growth, nil
	}
	data, err := EncodeDocument(s.version+1, edited)
	return len(data), err
}

// keepRecent extends the chain of small edits. A replaced document is kept as a patch; one that
// differs much from its predecessor breaks the chain.
func (s *Store) keepRecent(edit Edit, next *Document) {
	if edit.Apply != nil {
		if s.document == nil {
			return
		}
		patch, small := diff(s.document, next)
		if !small {
			s.recent = nil
			return
		}
		edit = Edit{patch: patch}
	}
	if len(s.recent) == maxRecentEdits {
		s.recent = slices.Delete(s.recent, 0, 1)
	}
	s.recent = append(s.recent, edit)
}

// Since returns the small edits that lead from a version to the current one. ok is false when
// there is no such chain: a document that differs much came between, or too many edits.
func (s *Store) Since(version Version) (edits []Edit, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if version >= s.version || s.version-version > Version(len(s.recent)) {
		return nil, false
	}
	return slices.Clone(s.recent[len(s.recent)-int(s.version-version):]), true
}

// boundFaults keeps what the table can afford. The instance that received the change has
// reported every fault already, as it parses the document before it is proposed.
func boundFaults(faults []Fault) []Fault {
	bounded := make([]Fault, 0, min(len(faults), MaxResultFaults))
	for _, fault := range faults[:cap(bounded)] {
		if len(fault.Detail) > MaxFaultDetailBytes {
			fault.Detail = fmt.Sprintf("%.*q", MaxFaultDetailBytes, fault.Detail)
		}
		bounded = append(bounded, fault)
	}
	return bounded
}

// remember stores a result and evicts the oldest one when the table is full. The order of the
// log decides, so that every replica evicts the same one.
func (s *Store) remember(id string, r remembered) {
	s.results[id] = r
	if len(s.order) < s.options.RememberedChanges {
		s.order = append(s.order, id)
		return
	}
	delete(s.results, s.order[s.oldest])
	s.order[s.oldest] = id
	s.oldest = (s.oldest + 1) % len(s.order)
}

func (s *Store) announce() {
	if s.options.OnVersion == nil {
		return
	}
	if version, document := s.Current(); document != nil {
		s.options.OnVersion(version, document)
	}
}

// Snapshot returns the whole state. It returns *TooLargeError or *MalformedError.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	snapshot := encodedSnapshot{Format: formatVersion, Version: s.version, Document: s.document}
	for i := range s.order {
		id := s.order[(s.oldest+i)%len(s.order)]
		found := s.results[id]
		snapshot.Changes = append(snapshot.Changes, encodedRemember{ID: id, Digest: found.digest[:], Result: found.result})
	}
	return encode(contentSnapshot, MaxSnapshotBytes, snapshot)
}

// Restore replaces the state by a snapshot. It returns *MalformedError, *FormatError or
// *TooLargeError and leaves the state as it was in that case.
func (s *Store) Restore(data []byte) error {
	var snapshot encodedSnapshot
	if err := decode(contentSnapshot, MaxSnapshotBytes, data, &snapshot); err != nil {
		return err
	}
	if detail := snapshot.fault(s.options.RememberedChanges); detail != "" {
		return &MalformedError{Content: contentSnapshot, Detail: detail}
	}
	s.mu.Lock()
	s.version = snapshot.Version
	s.document = snapshot.Document
	s.results = make(map[string]remembered, len(snapshot.Changes))
	s.order = nil
	s.oldest = 0
	s.size = 0
	s.recent = nil
	s.size = 0
	for _, change := range snapshot.Changes {
		s.remember(change.ID, remembered{digest: Digest(change.Digest), result: change.Result})
	}
	s.mu.Unlock()
	s.announce()
	return nil
}

// fault returns what makes a snapshot unusable, or "". The document is not validated again: it was
// accepted, and stricter rules of a later program must not undo that.
func (e *encodedSnapshot) fault(limit int) string {
	if (e.Version == 0) != (e.Document == nil) {
		return "a version without a document, or the reverse"
	}
	if len(e.Changes) > limit {
		return fmt.Sprintf("%d change IDs, at most %d", len(e.Changes), limit)
	}
	seen := make(map[string]bool, len(e.Changes))
	for _, change := range e.Changes {
		if CheckID(change.ID) != nil || seen[change.ID] || len(change.Digest) != len(Digest{}) {
			return fmt.Sprintf("invalid entry for change ID %.80q", change.ID)
		}
		if change.Result.Version > e.Version {
			return fmt.Sprintf("change ID %q has a version above the document's", change.ID)
		}
		seen[change.ID] = true
	}
	return ""
}
