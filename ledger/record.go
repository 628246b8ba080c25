package ledger

import (
	"bytes"
	"cmp"
	"slices"
	"unique"

	"github.com/fxamacker/cbor/v2"
)

// recordVersion is the version of records and snapshots. Records of any other version are rejected.
const recordVersion = 1

// record is one journal record. It always contains the ledger's time; without Start and Entry it contains
// nothing else.
type record struct {
	Version uint64       `cbor:"1,keyasint"`
	Time    int64        `cbor:"2,keyasint"` // Unix milliseconds
	Start   *startRecord `cbor:"3,keyasint,omitempty"`
	Entry   *storedEntry `cbor:"4,keyasint,omitempty"`
}

// startRecord is the part of a record that begins a new epoch.
type startRecord struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Epoch       uint64 `cbor:"2,keyasint"`
}

// storedEntry is the complete state of one key, so that a later record replaces an earlier one.
type storedEntry struct {
	ID          ID          `cbor:"1,keyasint"`
	Workspace   string      `cbor:"2,keyasint"`
	Expiry      int64       `cbor:"3,keyasint"` // Unix milliseconds
	Fingerprint Fingerprint `cbor:"4,keyasint"`
	Fence       Fence       `cbor:"5,keyasint"`
	Holder      string      `cbor:"6,keyasint"`
	Engine      string      `cbor:"7,keyasint,omitempty"`
	RequestID   string      `cbor:"8,keyasint,omitempty"`
	Outcome     Outcome     `cbor:"9,keyasint,omitempty"`
	Response    *Response   `cbor:"10,keyasint,omitempty"`
}

// snapshotHeader precedes the stored entries of a snapshot. A snapshot is a CBOR sequence.
type snapshotHeader struct {
	Version     uint64 `cbor:"1,keyasint"`
	Time        int64  `cbor:"2,keyasint"` // Unix milliseconds
	Incarnation uint64 `cbor:"3,keyasint"`
	Epoch       uint64 `cbor:"4,keyasint"`
	Entries     int    `cbor:"5,keyasint"` // number of stored entries that follow
}

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err) // The options are constants, so an error is a programming mistake.
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   8,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constants, so an error is a programming mistake.
	}
	return mode
}

func (e *entry) toStoredEntry(id ID) *storedEntry {
	return &storedEntry{
		ID:          id,
		Workspace:   e.workspace.name,
		Expiry:      e.expiry,
		Fingerprint: e.fingerprint,
		Fence:       e.fence,
		Holder:      e.holder.Value(),
		Engine:      e.engine.Value(),
		RequestID:   e.requestID,
		Outcome:     e.outcome,
		Response:    e.response,
	}
}

// Replay applies one journal record. It must be called after Restore, with the records in the order in which
// they were returned.
// It returns *RecordError.
func (l *Ledger) Replay(data []byte) error {
	r, err := decodeRecord(data)
	if err != nil {
		return err
	}
	l.highestTime = max(l.highestTime, r.Time)
	l.timeWritten = l.highestTime
	l.timeCommitted = l.highestTime
	if r.Start != nil {
		l.replayStart(*r.Start)
	}
	if r.Entry != nil {
		l.replayEntry(r.Entry)
	}
	return nil
}

func decodeRecord(data []byte) (record, error) {
	var version struct {
		Version uint64 `cbor:"1,keyasint"`
	}
	// The version is decoded without the strict options, because a later version may have fields unknown to
	// this one.
	if err := cbor.Unmarshal(data, &version); err != nil {
		return record{}, &RecordError{Err: err}
	}
	if version.Version != recordVersion {
		return record{}, &RecordError{Version: version.Version}
	}
	var r record
	if err := decoder.Unmarshal(data, &r); err != nil {
		return record{}, &RecordError{Version: version.Version, Err: err}
	}
	if r.Entry != nil && !r.Entry.valid() {
		return record{}, &RecordError{Version: version.Version, Err: &InvalidRequestError{Field: "entry"}}
	}
	return r, nil
}

// valid reports whether the names are valid and the fields are consistent with the outcome.
func (s *storedEntry) valid() bool {
	begun := validName(s.Engine) && validName(s.RequestID)
	neverBegun := s.Engine == "" && s.RequestID == "" && s.Outcome == OutcomeNotRun
	return validName(s.Workspace) && validName(s.Holder) && (begun || neverBegun) &&
		int(s.Outcome) < len(outcomeNames) && (s.Response == nil || s.Outcome == OutcomeAnswered)
}

func (l *Ledger) replayStart(s startRecord) {
	if s.Incarnation != l.storedIncarnation {
		l.clear()
		l.storedEpoch = 0
	}
	l.storedIncarnation = s.Incarnation
	l.storedEpoch = max(l.storedEpoch, s.Epoch)
}

func (l *Ledger) replayEntry(s *storedEntry) {
	previous, found := l.keys[s.ID]
	var w *workspaceUsage
	if found {
		w = previous.workspace
		l.removeStoredResponse(s.ID, previous)
	} else {
		w = l.workspaces[s.Workspace]
		if w == nil {
			w = &workspaceUsage{name: s.Workspace}
		}
		l.addKey(w)
	}
	l.recordsWritten++
	l.recordsCommitted = l.recordsWritten
	l.insertEntry(s.ID, &entry{
		fence:        s.Fence,
		fingerprint:  s.Fingerprint,
		expiry:       s.Expiry,
		recordNumber: l.recordsWritten,
		workspace:    w,
		holder:       unique.Make(s.Holder),
		engine:       unique.Make(s.Engine),
		requestID:    s.RequestID,
		response:     s.Response,
		outcome:      s.Outcome,
	})
}

// View is the state of a ledger at one point in time. Encode may run in another goroutine while the ledger is
// in use, because entries are replaced and never modified in place.
type View struct {
	header  snapshotHeader
	entries []entryWithID
}

type entryWithID struct {
	id    ID
	entry *entry
}

// View returns the current state, which takes much less time than encoding it. All returned records must have
// been committed before. The view does not contain removed entries, but it contains the time that shows that
// they expired.
func (l *Ledger) View() *View {
	v := &View{
		header: snapshotHeader{
			Version:     recordVersion,
			Time:        l.highestTime,
			Incarnation: l.incarnation,
			Epoch:       l.epoch,
			Entries:     len(l.keys),
		},
		entries: make([]entryWithID, 0, len(l.keys)),
	}
	for id, e := range l.keys {
		v.entries = append(v.entries, entryWithID{id: id, entry: e})
	}
	return v
}

// Encode returns the view as a snapshot for Restore. It must be called only once. It returns *RecordError.
func (v *View) Encode() ([]byte, error) {
	// Sorting by the last change preserves the order in which stored responses are evicted.
	slices.SortFunc(v.entries, func(a, b entryWithID) int {
		return cmp.Compare(a.entry.recordNumber, b.entry.recordNumber)
	})
	var out bytes.Buffer
	stream := encoder.NewEncoder(&out)
	if err := stream.Encode(v.header); err != nil {
		return nil, &RecordError{Version: recordVersion, Err: err}
	}
	for _, n := range v.entries {
		if err := stream.Encode(n.entry.toStoredEntry(n.id)); err != nil {
			return nil, &RecordError{Version: recordVersion, Err: err}
		}
	}
	return out.Bytes(), nil
}

// Snapshot returns the current state as a snapshot for Restore. It returns *RecordError.
func (l *Ledger) Snapshot() ([]byte, error) { return l.View().Encode() }

// Restore loads a snapshot into an empty ledger. It returns *RecordError.
func (l *Ledger) Restore(data []byte) error {
	var header snapshotHeader
	rest, err := cbor.UnmarshalFirst(data, &header)
	if err != nil {
		return &RecordError{Err: err}
	}
	if header.Version != recordVersion {
		return &RecordError{Version: header.Version}
	}
	l.highestTime = max(l.highestTime, header.Time)
	l.timeWritten = l.highestTime
	l.timeCommitted = l.highestTime
	l.replayStart(startRecord{Incarnation: header.Incarnation, Epoch: header.Epoch})
	for range header.Entries {
		var s storedEntry
		rest, err = decoder.UnmarshalFirst(rest, &s)
		if err != nil {
			return &RecordError{Version: header.Version, Err: err}
		}
		if !s.valid() {
			return &RecordError{Version: header.Version, Err: &InvalidRequestError{Field: "entry"}}
		}
		l.replayEntry(&s)
	}
	if len(rest) > 0 {
		return &RecordError{Version: header.Version, Err: &InvalidRequestError{Field: "length"}}
	}
	return nil
}
