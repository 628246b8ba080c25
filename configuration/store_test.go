package configuration_test

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/label"
)

// stateMachine is the part of Store that a replica calls.
type stateMachine interface {
	Apply(index uint64, data []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// retryResultError reports a retry whose result differs from the first result.
type retryResultError struct{ First, Retry any }

func (e *retryResultError) Error() string {
	return fmt.Sprintf("first %v, retry %v", e.First, e.Retry)
}

// checkRetry applies changes to a first replica and then retries them on it, on a second replica that has the
// log of the first, and on a third one that was restored from a snapshot of the first.
func checkRetry(t *testing.T, build func() stateMachine) error {
	first, second, third := build(), build(), build()
	log := [][]byte{
		encodeChange(t, applyChange("a", 0, smallDocument(t))),
		encodeChange(t, drainChange("b", 1, "o1", true)),
		encodeChange(t, drainChange("c", 1, "o1", false)),
	}
	var results []any
	for i, data := range log {
		results = append(results, first.Apply(uint64(i+1), data))
		second.Apply(uint64(i+1), data)
	}
	snapshot, err := first.Snapshot()
	if err != nil {
		return err
	}
	if err := third.Restore(snapshot); err != nil {
		return err
	}
	for _, replica := range []stateMachine{first, second, third} {
		for i, data := range log {
			if got := replica.Apply(uint64(i+4), data); fmt.Sprint(got) != fmt.Sprint(results[i]) {
				return &retryResultError{First: results[i], Retry: got}
			}
		}
	}
	return nil
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Guards against a retry that is evaluated again after a leader change or a restore.
func TestRetryReturnsFirstResult(t *testing.T) {
	is := is.New(t)
	is.NoErr(checkRetry(t, func() stateMachine { return configuration.NewStore(configuration.StoreOptions{}) }))
	err := checkRetry(t, func() stateMachine {
		return &storeWithoutRememberedChanges{Store: configuration.NewStore(configuration.StoreOptions{})}
	})
	var retried *retryResultError
	is.True(errors.As(err, &retried)) // the check detects a store that loses the results in a restore
}

// storeWithoutRememberedChanges loses the remembered results in Restore and keeps version and document.
type storeWithoutRememberedChanges struct{ *configuration.Store }

func (s *storeWithoutRememberedChanges) Restore(data []byte) error {
	if err := s.Store.Restore(data); err != nil {
		return err
	}
	version, document := s.Current()
	fresh := configuration.NewStore(configuration.StoreOptions{RememberedChanges: 1})
	for v := range version {
		fresh.Apply(0, must(configuration.EncodeChange(applyChange(fmt.Sprintf("filler-%d", v), v, document))))
	}
	s.Store = fresh
	return nil
}

// winnerCountError reports a number of accepted changes other than one.
type winnerCountError struct{ Accepted int }

func (e *winnerCountError) Error() string {
	return fmt.Sprintf("%d changes accepted, want 1", e.Accepted)
}

// checkConcurrentChanges applies concurrent changes of several operators with the same base to one log.
func checkConcurrentChanges(t *testing.T, store stateMachine) error {
	store.Apply(1, encodeChange(t, applyChange("first", 0, smallDocument(t))))
	const operators = 8
	var mu sync.Mutex // serialises the entries, as the log does
	var wg sync.WaitGroup
	accepted := 0
	for i := range operators {
		data := encodeChange(t, drainChange(fmt.Sprintf("race-%d", i), 1, "o1", i%2 == 0))
		wg.Go(func() {
			mu.Lock()
			defer mu.Unlock()
			result, ok := store.Apply(uint64(i+2), data).(configuration.Result)
			if ok && result.Status == configuration.StatusAccepted {
				accepted++
			}
		})
	}
	wg.Wait()
	if accepted != 1 {
		return &winnerCountError{Accepted: accepted}
	}
	return nil
}

// rebasedStore bypasses the compare-and-set by setting the base of every change to the current version.
type rebasedStore struct{ *configuration.Store }

func (s rebasedStore) Apply(index uint64, data []byte) any {
	change := must(configuration.DecodeChange(data))
	change.Base, _ = s.Current()
	return s.Store.Apply(index, must(configuration.EncodeChange(change)))
}

// Guards against two accepted changes with the same base, one of which would overwrite the other.
func TestOnlyOneChangePerBaseIsAccepted(t *testing.T) {
	is := is.New(t)
	is.NoErr(checkConcurrentChanges(t, configuration.NewStore(configuration.StoreOptions{})))
	var race *winnerCountError
	err := checkConcurrentChanges(t, rebasedStore{configuration.NewStore(configuration.StoreOptions{})})
	is.True(errors.As(err, &race)) // the check detects a store without the compare-and-set
}

// Guards against a reused change ID that returns the result of the first change for a different one.
func TestReusedIDIsRefused(t *testing.T) {
	is := is.New(t)
	store := configuration.NewStore(configuration.StoreOptions{})
	store.Apply(1, encodeChange(t, applyChange("a", 0, smallDocument(t))))
	before := must(store.Snapshot())
	var reused *configuration.ReusedIDError
	err, _ := store.Apply(2, encodeChange(t, drainChange("a", 1, "o1", true))).(error)
	is.True(errors.As(err, &reused))
	is.Equal(must(store.Snapshot()), before) // nothing changed
}

// Guards against accepting an edit that violates a rule, names no known engine or changes nothing.
func TestInvalidEditsChangeNothing(t *testing.T) {
	store := configuration.NewStore(configuration.StoreOptions{})
	store.Apply(1, encodeChange(t, applyChange("a", 0, smallDocument(t))))
	edits := map[string]configuration.Edit{
		"unknown engine":      {Drain: &configuration.DrainEdit{Engine: "o9"}},
		"empty":               {},
		"two edits":           {Drain: &configuration.DrainEdit{Engine: "o1"}, Apply: smallDocument(t)},
		"empty label edit":    {Label: &configuration.LabelEdit{Engine: "o1"}},
		"invalid labels":      {Label: &configuration.LabelEdit{Engine: "o1", Set: label.Set{"a b": "c", "d e": "f"}}},
		"no tiers":            {Apply: &configuration.Document{}},
		"too many engines":    {Apply: documentWithTooManyEngines()},
		"invalid queue limit": {Apply: &configuration.Document{Tiers: []configuration.Tier{{Name: "a", QueueLimit: -1}}}},
	}
	for name, edit := range edits {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			change := configuration.Change{ID: strings.ReplaceAll(name, " ", "-"), Base: 1, Edit: edit}
			result, ok := store.Apply(2, encodeChange(t, change)).(configuration.Result)
			is.True(ok)
			is.Equal(result.Status, configuration.StatusInvalid)
			is.True(len(result.Faults) > 0)
			is.True(len(result.Faults) <= configuration.MaxResultFaults)
			version, document := store.Current()
			is.Equal(version, configuration.Version(1))
			is.Equal(document.Engines[0].Drained, false)
		})
	}
}

func documentWithTooManyEngines() *configuration.Document {
	d := designSizeDocument()
	for i := range configuration.MaxEngines {
		d.Engines = append(d.Engines, configuration.Engine{Name: fmt.Sprintf("x y %d", i)})
	}
	return d
}

// Guards against an edit that modifies an older version, which requests may still use.
func TestEditsDoNotModifyOlderVersions(t *testing.T) {
	is := is.New(t)
	store := configuration.NewStore(configuration.StoreOptions{})
	store.Apply(1, encodeChange(t, applyChange("a", 0, smallDocument(t))))
	_, old := store.Current()
	edit := configuration.Edit{Label: &configuration.LabelEdit{
		Engine: "o1", Set: label.Set{"hardware": "new"}, Remove: []string{"app"},
	}}
	store.Apply(2, encodeChange(t, configuration.Change{ID: "b", Base: 1, Edit: edit}))
	version, document := store.Current()
	is.Equal(version, configuration.Version(2))
	is.Equal(document.Engines[0].Labels, label.Set{"hardware": "new"})
	is.Equal(old.Engines[0].Labels, label.Set{"app": "orders"})
}

// Guards against a table of change IDs that grows without limit or evicts other IDs after a restore.
func TestRememberedChangesAreBounded(t *testing.T) {
	is := is.New(t)
	options := configuration.StoreOptions{RememberedChanges: 3}
	store := configuration.NewStore(options)
	store.Apply(1, encodeChange(t, applyChange("id-0", 0, smallDocument(t))))
	for i := 1; i < 5; i++ {
		store.Apply(0, encodeChange(t, drainChange(fmt.Sprintf("id-%d", i), configuration.Version(i), "o1", true)))
	}
	restored := configuration.NewStore(options)
	is.NoErr(restored.Restore(must(store.Snapshot())))
	for _, s := range []*configuration.Store{store, restored} {
		s.Apply(0, encodeChange(t, drainChange("id-5", 5, "o1", false)))
		_, evicted := s.Lookup("id-2")
		_, kept := s.Lookup("id-3")
		is.True(!evicted)
		is.True(kept)
		// A retry after the eviction is still subject to the compare-and-set.
		result := s.Apply(0, encodeChange(t, drainChange("id-1", 1, "o1", true))).(configuration.Result)
		is.Equal(result.Status, configuration.StatusConflict)
	}
	is.Equal(must(store.Snapshot()), must(restored.Snapshot()))
}

// nearlyFullDocument returns a document whose encoding is 400 to 600 bytes below MaxDocumentBytes.
func nearlyFullDocument() *configuration.Document {
	document := designSizeDocument()
	size := func() int { return len(must(configuration.EncodeDocument(1, document))) }
	add := func(labels int) {
		engine := configuration.Engine{
			Name: fmt.Sprintf("more-%04d", len(document.Engines)), DataCentre: "centre-0", Labels: label.Set{},
			URL: fmt.Sprintf("http://10.9.0.1:%d", 10000+len(document.Engines)),
		}
		for i := range labels {
			engine.Labels[fmt.Sprintf("%02d%s", i, strings.Repeat("k", 60))] = strings.Repeat("v", 64)
		}
		document.Engines = append(document.Engines, engine)
	}
	before := size()
	add(label.MaxLabels)
	full := size() - before
	for range (configuration.MaxDocumentBytes-400-size())/full - 1 {
		add(label.MaxLabels)
	}
	for size() < configuration.MaxDocumentBytes-600 {
		add(min(label.MaxLabels, (configuration.MaxDocumentBytes-500-size())/150))
	}
	return document
}

// Guards against small edits that make a document larger than the links between instances can carry, and
// against results that differ between a replica that was restored and one that was not.
func TestSizeIsBoundedAcrossRestores(t *testing.T) {
	is := is.New(t)
	first := configuration.NewStore(configuration.StoreOptions{})
	second := configuration.NewStore(configuration.StoreOptions{})
	data := encodeChange(t, applyChange("first", 0, nearlyFullDocument()))
	statuses := map[configuration.Status]int{}
	for i := range 12 {
		result, ok := first.Apply(0, data).(configuration.Result)
		is.True(ok)
		is.Equal(second.Apply(0, data), result)
		statuses[result.Status]++
		if i == 3 {
			is.NoErr(second.Restore(must(first.Snapshot())))
		}
		version, _ := first.Current()
		set := label.Set{"pad": strings.Repeat("x", label.MaxKeyOrValueBytes)}
		edit := configuration.Edit{Label: &configuration.LabelEdit{Engine: fmt.Sprintf("engine-%d", i), Set: set}}
		data = encodeChange(t, configuration.Change{ID: fmt.Sprintf("id-%d", i), Base: version, Edit: edit})
	}
	version, document := first.Current()
	_, err := configuration.EncodeDocument(version, document)
	is.NoErr(err)
	is.True(statuses[configuration.StatusAccepted] > 4)
	is.True(statuses[configuration.StatusInvalid] > 2)
}
