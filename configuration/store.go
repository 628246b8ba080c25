package configuration

import (
	"fmt"
	"slices"
	"sync"
)

// StoreOptions configures a Store.
type StoreOptions struct {
	// OnVersion, if set, is called from Apply and Restore with every new version. It must not block.
	OnVersion func(Version, *Document)
	// RememberedChanges is the size of the table of change IDs; 0 means MaxRememberedChanges. It has to be
	// equal on all replicas, since it determines which retries are recognised.
	RememberedChanges int
}

// Store is the replicated state machine of the configuration. Apply, Snapshot and Restore are called by one
// replica in the order of the log; the other methods may be called concurrently at any time. The store is
// deterministic: equal logs give equal states, independent of time, random numbers and the iteration order
// of maps.
type Store struct {
	options StoreOptions

	mu             sync.RWMutex
	version        Version
	document       *Document
	results        map[string]rememberedChange // by change ID
	order          []string                    // change IDs in log order; a ring buffer once it is full
	oldest         int                         // index into order of the next ID to evict
	maxEncodedSize int                         // upper bound on the encoded size in bytes; 0 if unknown; not replicated
	recentEdits    []Edit                      // latest edits up to the current version, oldest first; not replicated
}

// maxRecentEdits is the maximum number of edits that a subscriber can catch up with. At 570 changes a day
// they cover a disconnection of an instance of more than an hour.
const maxRecentEdits = 32

type rememberedChange struct {
	digest Digest
	result Result
}

// NewStore returns an empty store with version 0 and no document.
func NewStore(o StoreOptions) *Store {
	if o.RememberedChanges <= 0 {
		o.RememberedChanges = MaxRememberedChanges
	}
	return &Store{options: o, results: map[string]rememberedChange{}}
}

// Current returns the newest version and its document, which must not be modified. Version 0 has no document.
func (s *Store) Current() (Version, *Document) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.version, s.document
}

// Lookup returns the result of a change while its ID is remembered.
func (s *Store) Lookup(id string) (Result, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	found, ok := s.results[id]
	return found.result, ok
}

// Apply applies one log entry. It returns a Result or an error, which is *ReusedIDError or, for an entry
// that does not decode to a change, an error of DecodeChange. After an error the store is unchanged.
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
		s.notify()
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
	result, document, maxEncodedSize := s.evaluate(change)
	if result.Status == StatusAccepted {
		s.appendRecentEdit(change.Edit, document)
		s.version = result.Version
		s.document = document
		s.maxEncodedSize = maxEncodedSize
	}
	s.remember(change.ID, rememberedChange{digest: content, result: result})
	return result, result.Status == StatusAccepted, nil
}

// evaluate compares the base of a change with the current version and validates the complete edited document.
// For an accepted change it also returns the document and an upper bound on its encoded size.
func (s *Store) evaluate(change *Change) (Result, *Document, int) {
	if change.Base != s.version {
		return Result{Status: StatusConflict, Version: s.version}, nil, 0
	}
	edited, fault := change.Edit.apply(s.document)
	if fault != nil {
		return s.invalid([]Fault{*fault}), nil, 0
	}
	if faults := documentFaults(edited); len(faults) > 0 {
		return s.invalid(faults), nil, 0
	}
	size, err := s.boundEncodedSize(change.Edit, edited)
	if err != nil {
		return s.invalid([]Fault{{Line: 1, Reason: ReasonTooLong, Detail: err.Error()}}), nil, 0
	}
	return Result{Status: StatusAccepted, Version: s.version + 1}, edited, size
}

func (s *Store) invalid(faults []Fault) Result {
	return Result{Status: StatusInvalid, Version: s.version, Faults: boundFaults(faults)}
}

// boundEncodedSize returns an upper bound on the encoded size of the edited document, or *TooLargeError when
// the size exceeds MaxDocumentBytes: small edits can make a valid document larger than the links between
// instances can carry. The document is encoded only when the bound is unknown or above the limit, so the
// result of the change does not depend on the bound, which may differ between replicas.
func (s *Store) boundEncodedSize(edit Edit, edited *Document) (int, error) {
	if growth := edit.growth(); edit.Apply == nil && s.maxEncodedSize > 0 && s.maxEncodedSize+growth <= MaxDocumentBytes {
		return s.maxEncodedSize + growth, nil
	}
	data, err := EncodeDocument(s.version+1, edited)
	return len(data), err
}

// appendRecentEdit appends an edit to the recent edits. An edit that replaces the document is stored as a
// patch; when the two documents differ too much for a patch, the recent edits are discarded.
func (s *Store) appendRecentEdit(edit Edit, next *Document) {
	if edit.Apply != nil {
		if s.document == nil {
			return
		}
		patch, small := diff(s.document, next)
		if !small {
			s.recentEdits = nil
			return
		}
		edit = Edit{patch: patch}
	}
	if len(s.recentEdits) == maxRecentEdits {
		s.recentEdits = slices.Delete(s.recentEdits, 0, 1)
	}
	s.recentEdits = append(s.recentEdits, edit)
}

// Since returns the edits that lead from an earlier version to the current one. ok is false when version is
// not an earlier one, or when the store does not have all edits: there were more than maxRecentEdits, one
// replaced the document by a very different one, or the store was restored from a snapshot in between.
func (s *Store) Since(version Version) (edits []Edit, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if version >= s.version || s.version-version > Version(len(s.recentEdits)) {
		return nil, false
	}
	return slices.Clone(s.recentEdits[len(s.recentEdits)-int(s.version-version):]), true
}

// boundFaults limits the faults of a result to what the table of change IDs stores. The instance that
// received the change has already reported every fault, since it parses the document before the change is
// proposed.
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

// remember stores a result and evicts the oldest one when the table is full. Age follows the order of the
// log, so every replica evicts the same result.
func (s *Store) remember(id string, r rememberedChange) {
	s.results[id] = r
	if len(s.order) < s.options.RememberedChanges {
		s.order = append(s.order, id)
		return
	}
	delete(s.results, s.order[s.oldest])
	s.order[s.oldest] = id
	s.oldest = (s.oldest + 1) % len(s.order)
}

func (s *Store) notify() {
	if s.options.OnVersion == nil {
		return
	}
	if version, document := s.Current(); document != nil {
		s.options.OnVersion(version, document)
	}
}

// Snapshot returns the encoded replicated state. It returns *TooLargeError or *MalformedError.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	snapshot := encodedSnapshot{Format: formatVersion, Version: s.version, Document: s.document}
	for i := range s.order {
		id := s.order[(s.oldest+i)%len(s.order)]
		found := s.results[id]
		snapshot.Changes = append(snapshot.Changes, encodedRememberedChange{ID: id, Digest: found.digest[:], Result: found.result})
	}
	return encode(contentSnapshot, MaxSnapshotBytes, snapshot)
}

// Restore replaces the state with that of a snapshot. It returns *MalformedError, *FormatError or
// *TooLargeError; the state is unchanged in that case.
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
	s.results = make(map[string]rememberedChange, len(snapshot.Changes))
	s.order = nil
	s.oldest = 0
	s.maxEncodedSize = 0
	s.recentEdits = nil
	s.maxEncodedSize = 0
	for _, change := range snapshot.Changes {
		s.remember(change.ID, rememberedChange{digest: Digest(change.Digest), result: change.Result})
	}
	s.mu.Unlock()
	s.notify()
	return nil
}

// fault describes what makes a snapshot unusable, or returns "". The document is not validated again: it was
// accepted before, and stricter rules in a later release must not revoke that.
func (e *encodedSnapshot) fault(limit int) string {
	if (e.Version == 0) != (e.Document == nil) {
		return "a version without a document, or a document without a version"
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
