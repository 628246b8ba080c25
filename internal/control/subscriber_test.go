package control

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/journal"
)

// withVersion puts a version in force before the worker starts, which then owns it.
func withVersion(version configuration.Version) func(*Control) {
	return func(c *Control) { c.subscriber.applyIfNewer(version, document(7, 1), nil) }
}

// startWithStaleSources returns a check that starts an instance with an old file on disk and a neighbour
// with an older version, and fails when the version in force decreases.
func startWithStaleSources(adjust func(*Control)) func(t *testing.T, net *fakeNetwork) error {
	return func(t *testing.T, net *fakeNetwork) error {
		is := is.New(t)
		directory := t.TempDir()
		payload, err := encodePayload(3, document(7, 1))
		is.NoErr(err)
		is.NoErr(saveVersion(directory, payload))
		replicas := []Peer{{"r-bern", "bern"}} // this replica is not started
		net.leader = "r-bern"
		node := net.start(t, replicas, "disk", "bern", directory, adjust)
		net.start(t, replicas, "stale", "bern", "", withVersion(2))
		net.start(t, replicas, "fresh", "bern", "", withVersion(5))
		time.Sleep(3 * time.Second)
		node.control.subscriber.loadFromDisk() // simulates a file that was restored from an older backup
		version, old, err := loadVersion(directory)
		is.NoErr(err)
		is.Equal(version, configuration.Version(5))
		node.control.subscriber.applyIfNewer(2, old, nil)
		node.control.subscriber.enqueueAnnouncement("stale", 2)
		time.Sleep(3 * time.Second)
		versions := node.history()
		for i, version := range versions {
			if i > 0 && version <= versions[i-1] {
				return &violation{"a lower version was put in force"}
			}
		}
		if versions[0] != 3 || versions[len(versions)-1] != 5 {
			return &violation{"the version of the file or of the neighbour was not put in force"}
		}
		return nil
	}
}

// Guards against an instance that returns to a lower version because of a stale neighbour or an old file.
func TestVersionsOnlyIncrease(t *testing.T) {
	is := is.New(t)
	is.NoErr(inSyntheticTime(t, startWithStaleSources(nil)))
	var detected *violation
	err := inSyntheticTime(t, startWithStaleSources(func(c *Control) {
		c.subscriber.shouldReplace = func(_, _ configuration.Version) bool { return true }
	}))
	is.True(errors.As(err, &detected)) // the test detects a subscriber that accepts lower versions
}

// Guards against a diskless instance in a partitioned data centre that becomes ready without a version, or
// with less than the highest version of its neighbours.
func TestDisklessStartUsesHighestNeighbourVersion(t *testing.T) {
	is := is.New(t)
	is.NoErr(inSyntheticTime(t, func(t *testing.T, net *fakeNetwork) error {
		is := is.New(t)
		startSubscribedDataCentres(t, net)
		_, err := submit(net, "i0-bern", applyChange("first", 0))
		is.NoErr(err)
		net.setPartitioned("olten", true)
		replicas := net.nodes["r-olten"].control.options.Replicas
		net.remove("r-olten")
		net.nodes["i1-olten"].control.subscriber.applyIfNewer(4, document(7, 1), nil)
		late := net.start(t, replicas, "late", "olten", "", nil)
		is.Equal(late.control.Version(), configuration.Version(0)) // not ready
		time.Sleep(3 * time.Second)
		is.Equal(late.history(), []configuration.Version{4})
		return nil
	}))
}

// Guards against edits that are applied to a document other than the sender's, and against whole documents
// that are sent where edits are enough.
func TestEditsProduceTheSendersDocument(t *testing.T) {
	is := is.New(t)
	is.NoErr(inSyntheticTime(t, func(t *testing.T, net *fakeNetwork) error {
		is := is.New(t)
		startSubscribedDataCentres(t, net)
		_, err := submit(net, "i0-bern", applyChange("first", 0))
		is.NoErr(err)
		corrupted := net.nodes["i0-olten"].control.subscriber
		corrupted.mu.Lock()
		corrupted.document = document(8, 1) // simulates memory corruption
		corrupted.mu.Unlock()
		before := map[string]uint64{}
		for name, node := range net.nodes {
			before[name] = node.control.metrics.fetchedBytes.Get()
		}
		edit := configuration.Edit{Drain: &configuration.DrainEdit{Engine: "engine-3", On: true}}
		result, err := submit(net, "i0-bern", configuration.Change{ID: "second", Base: 1, Edit: edit})
		is.NoErr(err)
		is.Equal(result.Outcome, OutcomeAccepted)
		_, want := net.nodes["r-bern"].control.store.Current()
		for name, node := range net.nodes {
			_, got := node.control.Current()
			is.Equal(got, want)
			fetched := node.control.metrics.fetchedBytes.Get() - before[name]
			is.Equal(fetched > 200, name == "i0-olten") // only this instance needs the whole document
		}
		return nil
	}))
}

// Guards against a damaged file that is served or that prevents an instance from starting.
func TestCorruptFileIsIgnored(t *testing.T) {
	payload, err := encodePayload(3, document(7, 1))
	if err != nil {
		t.Fatal(err)
	}
	damage := map[string]func(data []byte) []byte{
		"flipped bit":    func(data []byte) []byte { data[len(data)/2] ^= 1; return data },
		"truncated":      func(data []byte) []byte { return data[:len(data)-7] },
		"empty":          func([]byte) []byte { return nil },
		"unknown layout": func(data []byte) []byte { data[7] = '2'; return data },
		"not compressed": func(data []byte) []byte { return withChecksum(data[:fileHeaderBytes], []byte("not compressed")) },
		"undamaged":      nil,
	}
	for name, change := range damage {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			directory := t.TempDir()
			is.NoErr(saveVersion(directory, payload))
			path := filepath.Join(directory, fileName)
			data, err := os.ReadFile(path)
			is.NoErr(err)
			if change == nil {
				version, _, err := loadVersion(directory)
				is.NoErr(err)
				is.Equal(version, configuration.Version(3))
				return
			}
			is.NoErr(os.WriteFile(path, change(data), 0o600))
			var corrupt *CorruptFileError
			_, _, err = loadVersion(directory)
			is.True(errors.As(err, &corrupt))
			is.NoErr(inSyntheticTime(t, func(t *testing.T, net *fakeNetwork) error {
				is := is.New(t)
				node := net.start(t, []Peer{{"r-bern", "bern"}}, "disk", "bern", directory, nil)
				time.Sleep(3 * time.Second)
				is.Equal(node.control.Version(), configuration.Version(0))
				return nil
			}))
		})
	}
}

// Guards against a file that holds an older version until the next change, because one write of it was refused.
func TestVersionIsSavedOnceWritesSucceed(t *testing.T) {
	is := is.New(t)
	is.NoErr(inSyntheticTime(t, func(t *testing.T, net *fakeNetwork) error {
		is := is.New(t)
		blocker := filepath.Join(t.TempDir(), "data")
		directory := filepath.Join(blocker, "control")
		is.NoErr(os.WriteFile(blocker, nil, 0o600)) // the directory cannot be created
		payload, err := encodePayload(3, document(7, 1))
		is.NoErr(err)
		net.start(t, []Peer{{"r-bern", "bern"}}, "a", "bern", directory, func(c *Control) {
			c.subscriber.applyIfNewer(3, document(7, 1), payload)
		})
		is.NoErr(os.Remove(blocker))
		time.Sleep(30 * time.Second)
		version, _, err := loadVersion(directory)
		is.NoErr(err)
		is.Equal(version, configuration.Version(3))
		return nil
	}))
}

func withChecksum(header, payload []byte) []byte {
	data := append([]byte{}, header[:len(fileMagic)]...)
	data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(payload))
	return append(data, payload...)
}

// Guards against a payload that decompresses to more than the maximum size of a document.
func TestPayloadIsBounded(t *testing.T) {
	is := is.New(t)
	_, _, err := decodePayload(compress(t, make([]byte, 2*configuration.MaxDocumentBytes)))
	var large *configuration.TooLargeError
	is.True(errors.As(err, &large))
	is.True(large.Bytes <= configuration.MaxDocumentBytes+1)
}

// FuzzDecodePayload guards against payloads that cause a panic in the decoder.
func FuzzDecodePayload(f *testing.F) {
	payload, err := encodePayload(3, document(7, 1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(payload)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _, _ = decodePayload(data) })
}

// TestSubscriberThatWaitsForItsDiskSaysSo guards against a version that takes force late, and a change that is accepted
// late, because an instance waits for a stalled disk without a line in its log.
func TestSubscriberThatWaitsForItsDiskSaysSo(t *testing.T) {
	is := is.New(t)
	const stall = 6 * time.Second
	var log bytes.Buffer // is read after the node has stopped
	is.NoErr(inSyntheticTime(t, func(t *testing.T, net *fakeNetwork) error {
		node := net.start(t, []Peer{{"r-bern", "bern"}}, "slow", "bern", t.TempDir(), func(c *Control) {
			c.options.Logger = zerolog.New(zerolog.SyncWriter(&log))
			c.subscriber.save = func(string, []byte) error { time.Sleep(stall); return nil }
		})
		net.start(t, []Peer{{"r-bern", "bern"}}, "fresh", "bern", "", withVersion(5))
		time.Sleep(30 * time.Second)
		is.Equal(node.history(), []configuration.Version{5})
		return nil
	}))
	var took []float64 // in milliseconds
	for line := range bytes.Lines(log.Bytes()) {
		var fields struct {
			Operation, Path string
			Took            float64
		}
		is.NoErr(json.Unmarshal(line, &fields))
		if fields.Operation == string(journal.OperationWrite) && filepath.Base(fields.Path) == fileName {
			took = append(took, fields.Took)
		}
	}
	is.Equal(took, []float64{float64(journal.SlowAfter.Milliseconds()), float64(stall.Milliseconds())})
}
