package control

import (
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/configuration"
)

// staleSources starts an instance with an old file on disk beside a neighbour with an older
// version, and reports any step back.
func staleSources(adjust func(*Control)) func(t *testing.T, net *fakeNet) error {
	return func(t *testing.T, net *fakeNet) error {
		is := is.New(t)
		directory := t.TempDir()
		payload, err := encodePayload(3, document(7, 1))
		is.NoErr(err)
		is.NoErr(saveVersion(directory, payload))
		replicas := []Peer{{"r-bern", "bern"}} // never started
		net.leader = "r-bern"
		node := net.start(t, replicas, "disk", "bern", directory, adjust)
		stale := net.start(t, replicas, "stale", "bern", "", nil)
		fresh := net.start(t, replicas, "fresh", "bern", "", nil)
		stale.control.subscriber.offer(2, document(7, 1), nil)
		fresh.control.subscriber.offer(5, document(7, 1), nil)
		time.Sleep(3 * time.Second)
		node.control.subscriber.load() // as a file that was put back by an older backup
		version, old, err := loadVersion(directory)
		is.NoErr(err)
		is.Equal(version, configuration.Version(5))
		node.control.subscriber.offer(2, old, nil)
		node.control.subscriber.announced("stale", 2)
		time.Sleep(3 * time.Second)
		versions := node.history()
		for i, version := range versions {
			if i > 0 && version <= versions[i-1] {
				return &violation{"a lower version took force"}
			}
		}
		if versions[0] != 3 || versions[len(versions)-1] != 5 {
			return &violation{"the file or the neighbour's version was not taken"}
		}
		return nil
	}
}

// Guards against an instance that goes back to a lower version from a stale neighbour or an old file.
func TestVersionsOnlyGrow(t *testing.T) {
	is := is.New(t)
	is.NoErr(inVirtualTime(t, staleSources(nil)))
	var broken *violation
	err := inVirtualTime(t, staleSources(func(c *Control) {
		c.subscriber.admit = func(_, _ configuration.Version) bool { return true }
	}))
	is.True(errors.As(err, &broken)) // the check fails without the guard
}

// Guards against a diskless instance in a partitioned data centre that is ready without a
// version, or takes less than the highest one.
func TestDisklessStartTakesHighestOfNeighbours(t *testing.T) {
	is := is.New(t)
	is.NoErr(inVirtualTime(t, func(t *testing.T, net *fakeNet) error {
		is := is.New(t)
		settledCentres(t, net)
		_, err := submit(net, "i0-bern", applyChange("first", 0))
		is.NoErr(err)
		net.setCut("olten", true)
		replicas := net.nodes["r-olten"].control.options.Replicas
		net.remove("r-olten")
		net.nodes["i1-olten"].control.subscriber.offer(4, document(7, 1), nil)
		late := net.start(t, replicas, "late", "olten", "", nil)
		is.Equal(late.control.Version(), configuration.Version(0)) // not ready
		time.Sleep(3 * time.Second)
		is.Equal(late.history(), []configuration.Version{4})
		return nil
	}))
}

// Guards against edits that are applied to another document than the sender's, and against whole
// documents where edits would do.
func TestEditsLeadToTheSendersDocument(t *testing.T) {
	is := is.New(t)
	is.NoErr(inVirtualTime(t, func(t *testing.T, net *fakeNet) error {
		is := is.New(t)
		settledCentres(t, net)
		_, err := submit(net, "i0-bern", applyChange("first", 0))
		is.NoErr(err)
		odd := net.nodes["i0-olten"].control.subscriber
		odd.mu.Lock()
		odd.document = document(8, 1) // as after a fault in memory
		odd.mu.Unlock()
		before := map[string]uint64{}
		for name, node := range net.nodes {
			before[name] = node.control.metrics.fetchedBytes.Get()
		}
		edit := configuration.Edit{Drain: &configuration.DrainEdit{Engine: "engine-3", On: true}}
		answer, err := submit(net, "i0-bern", configuration.Change{ID: "second", Base: 1, Edit: edit})
		is.NoErr(err)
		is.Equal(answer.Outcome, OutcomeAccepted)
		_, want := net.nodes["r-bern"].control.store.Current()
		for name, node := range net.nodes {
			_, got := node.control.Current()
			is.Equal(got, want)
			fetched := node.control.metrics.fetchedBytes.Get() - before[name]
			is.Equal(fetched > 200, name == "i0-olten") // only the odd one needs the whole document
		}
		return nil
	}))
}

// Guards against a damaged file that is served or that keeps an instance from starting.
func TestCorruptFileCountsAsNone(t *testing.T) {
	payload, err := encodePayload(3, document(7, 1))
	if err != nil {
		t.Fatal(err)
	}
	damage := map[string]func(data []byte) []byte{
		"bit":       func(data []byte) []byte { data[len(data)/2] ^= 1; return data },
		"torn":      func(data []byte) []byte { return data[:len(data)-7] },
		"empty":     func([]byte) []byte { return nil },
		"layout":    func(data []byte) []byte { data[7] = '2'; return data },
		"no flate":  func(data []byte) []byte { return withChecksum(data[:fileHeaderBytes], []byte("not compressed")) },
		"no faults": nil,
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
			is.NoErr(inVirtualTime(t, func(t *testing.T, net *fakeNet) error {
				is := is.New(t)
				node := net.start(t, []Peer{{"r-bern", "bern"}}, "disk", "bern", directory, nil)
				time.Sleep(3 * time.Second)
				is.Equal(node.control.Version(), configuration.Version(0))
				return nil
			}))
		})
	}
}

func withChecksum(header, payload []byte) []byte {
	data := append([]byte{}, header[:len(fileMagic)]...)
	data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(payload))
	return append(data, payload...)
}

// Guards against a payload that claims more memory than a document may have.
func TestPayloadIsBounded(t *testing.T) {
	is := is.New(t)
	_, _, err := decodePayload(compress(t, make([]byte, 2*configuration.MaxDocumentBytes)))
	var large *configuration.TooLargeError
	is.True(errors.As(err, &large))
	is.True(large.Bytes <= configuration.MaxDocumentBytes+1)
}

// Guards against a decoder that panics on a payload.
func FuzzDecodePayload(f *testing.F) {
	payload, err := encodePayload(3, document(7, 1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(payload)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _, _ = decodePayload(data) })
}
