package control

import (
	"bytes"
	"compress/flate"
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/configuration"
)

func compress(t *testing.T, data []byte) []byte {
	t.Helper()
	var out bytes.Buffer
	writer, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Write(data); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// Guards against a restarted instance that counts with the version of an earlier incarnation, and against
// reports that arrive out of order and revert newer ones.
func TestReportsByIncarnation(t *testing.T) {
	now := time.Unix(0, 0)
	lease := 7 * time.Second
	cases := []struct {
		name    string
		reports []versionReport
		after   time.Duration // delay of the last report
		want    configuration.Version
	}{
		{"increasing", []versionReport{{version: 2}, {version: 5}}, 0, 5},
		{"out of order", []versionReport{{version: 5}, {version: 2}}, 0, 5},
		{"restarted", []versionReport{{version: 5, incarnation: 1}, {version: 2, incarnation: 2}}, 0, 2},
		{"late report of an earlier incarnation", []versionReport{{version: 2, incarnation: 2}, {version: 5, incarnation: 1}}, 0, 2},
		{"incarnation decreased", []versionReport{{version: 5, incarnation: 9}, {version: 2, incarnation: 1}}, lease, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			known := versionTable{}
			for i, r := range c.reports {
				at := now
				if i == len(c.reports)-1 {
					at = now.Add(c.after)
				}
				r.name = "a"
				known.update(r, at, lease)
			}
			is.Equal(known["a"].version, c.want)
		})
	}
}

// Guards against a table that keeps every instance that ever reported.
func TestSilentUnknownInstancesArePruned(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	known := versionTable{}
	known.update(versionReport{name: "gone"}, now, time.Second)
	known.update(versionReport{name: "member"}, now, time.Second)
	known.prune([]Member{{Name: "member"}}, now.Add(2*time.Second), time.Second)
	is.Equal(len(known), 1)
}

// FuzzHandlers guards against a handler that panics on a message body or treats an arbitrary one as a
// change.
func FuzzHandlers(f *testing.F) {
	net := newFakeNetwork()
	node := net.start(f, []Peer{{"r-0", "bern"}}, "r-0", "bern", "", nil)
	f.Cleanup(net.stopAll)
	for _, message := range []any{
		announcement{Version: 0}, inForceReport{Version: 1, Subscribe: true}, fetchRequest{Above: 1}, outcomeRequest{ChangeID: "a"},
		submitRequest{Change: []byte("x")},
	} {
		body, err := cbor.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, handler := range node.handlers {
			_, _ = handler(context.Background(), node.sender(), body)
		}
		if node.control.Version() != 0 {
			t.Fatal("a change was accepted")
		}
	})
}
