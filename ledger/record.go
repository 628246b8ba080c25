package ledger

import (
	"bytes"
	"cmp"
	"slices"
	"unique"

	"github.com/fxamacker/cbor/v2"
)

// recordVersion is the version of records and snapshots. A reader refuses every other one.
const recordVersion = 1

// record is one journal record. It carries the ledger's time in any case; without Boot and Entry it carries only that.
type record struct {
	Version uint64       `cbor:"1,keyasint"`
	Time    int64        `cbor:"2,keyasint"` // Unix milliseconds
	Boot    *bootRecord  `cbor:"3,keyasint,omitempty"`
	Entry   *storedEntry `cbor:"4,keyasint,omitempty"`
}

type bootRecord struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Epoch       uint64 `cbor:"2,keyasint"`
}

// storedEntry is the whole state of one key, so that a later record simply replaces an earlier one.
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

// snapshotHeader precedes the stored entries of a snapshot, which is a CBOR sequence.
type snapshotHeader struct {
	Version     uint64 `cbor:"1,keyasint"`
	Time        int64  `cbor:"2,keyasint"` // Unix milliseconds
	Incarnation uint64 `cbor:"3,keyasint"`
	Epoch       uint64 `cbor:"4,keyasint"`
	Entries     int    `cbor:"5,keyasint"`
}

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err) // The options are constants, so this is a fault in the program.
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
		panic(err) // The options are constants, so this is a fault in the program.
	}
	return mode
}

func (e *entry) stored(id ID) *storedEntry {
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

// Replay applies one journal record. Records must come in the order in which they were returned, after Restore.
// It returns *RecordError.
func (l *Ledger) Replay(data []byte) error {
	r, err := decodeRecord(data)
	if err != nil {
		return err
	}
	l.highest = max(l.highest, r.Time)
	l.timeWritten = l.highest
	l.timeCommitted = l.highest
	if r.Boot != nil {
		l.replayBoot(*r.Boot)
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
	// The version is read without the strict options: a later version may have fields that this one does not know.
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

func (s *storedEntry) valid() bool {
	begun := validName(s.Engine) && validName(s.RequestID)
	neverBegun := s.Engine == "" && s.RequestID == "" && s.Outcome == OutcomeNotRun
	return validName(s.Workspace) && validName(s.Holder) && (begun || neverBegun) &&
		int(s.Outcome) < len(outcomeNames) && (s.Response == nil || s.Outcome == OutcomeAnswered)
}

func (l *Ledger) replayBoot(b bootRecord) {
	if b.Incarnation != l.storedIncarnation {
		l.clear()
		l.storedEpoch = 0
	}
	l.storedIncarnation = b.Incarnation
	l.storedEpoch = max(l.storedEpoch, b.Epoch)
}

func (l *Ledger) replayEntry(s *storedEntry) {
	previous, found := l.keys[s.ID]
	var w *workspace
	if found {
		w = previous.workspace
		l.dropCopy(s.ID, previous)
	} else {
		w = l.workspaces[s.Workspace]
		if w == nil {
			w = &workspace{name: s.Workspace}
		}
		l.count(w)
	}
	l.written++
	l.committed = l.written
	l.put(s.ID, &entry{
		fence:       s.Fence,
		fingerprint: s.Fingerprint,
		expiry:      s.Expiry,
		number:      l.written,
		workspace:   w,
		holder:      unique.Make(s.Holder),
		engine:      unique.Make(s.Engine),
		requestID:   s.RequestID,
		response:    s.Response,
		outcome:     s.Outcome,
	})
}

// View is the state of a ledger at one moment. Encode may run on another goroutine while the ledger goes on, because
// entries are replaced and never changed in place.
type View struct {
	header  snapshotHeader
	entries []numberedEntry
}

type numberedEntry struct {
	id    ID
	entry *entry
}

// View returns the present state, which is short work beside encoding it. Every returned record must have been
// committed. Entries that were dropped are missing from it, and the time that proves their expiry is in it.
func (l *Ledger) View() *View {
	v := &View{
		header: snapshotHeader{
			Version:     recordVersion,
			Time:        l.highest,
			Incarnation: l.incarnation,
			Epoch:       l.epoch,
			Entries:     len(l.keys),
		},
		entries: make([]numberedEntry, 0, len(l.keys)),
	}
	for id, e := range l.keys {
		v.entries = append(v.entries, numberedEntry{id: id, entry: e})
	}
	return v
}

// Encode returns the snapshot that Restore reads. It must be called once. It returns *RecordError.
func (v *View) Encode() ([]byte, error) {
	// The order of the last change keeps the copies of answers in their order.
	slices.SortFunc(v.entries, func(a, b numberedEntry) int { return cmp.Compare(a.entry.number, b.entry.number) })
	var out bytes.Buffer
	stream := encoder.NewEncoder(&out)
	if err := stream.Encode(v.header); err != nil {
		return nil, &RecordError{Version: recordVersion, Err: err}
	}
	for _, n := range v.entries {
		if err := stream.Encode(n.entry.stored(n.id)); err != nil {
			return nil, &RecordError{Version: recordVersion, Err: err}
		}
	}
	return out.Bytes(), nil
}

// Snapshot returns the present state as Restore reads it. It returns *RecordError.
func (l *Ledger) Snapshot() ([]byte, error) { return l.View().Encode() }

// Restore reads a snapshot into an empty ledger. It returns *RecordError.
func (l *Ledger) Restore(data []byte) error {
	var header snapshotHeader
	rest, err := cbor.UnmarshalFirst(data, &header)
	if err != nil {
		return &RecordError{Err: err}
	}
	if header.Version != recordVersion {
		return &RecordError{Version: header.Version}
	}
	l.highest = max(l.highest, header.Time)
	l.timeWritten = l.highest
	l.timeCommitted = l.highest
	l.replayBoot(bootRecord{Incarnation: header.Incarnation, Epoch: header.Epoch})
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
