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

// Guards against a restarted instance that counts with the version of its earlier life, and
// against late reports that undo newer ones.
func TestReportsByIncarnation(t *testing.T) {
	now := time.Unix(0, 0)
	lease := 7 * time.Second
	cases := []struct {
		name    string
		reports []report
		after   time.Duration // before the last report
		want    configuration.Version
	}{
		{"grows", []report{{version: 2}, {version: 5}}, 0, 5},
		{"overtaken", []report{{version: 5}, {version: 2}}, 0, 5},
		{"restarted", []report{{version: 5, incarnation: 1}, {version: 2, incarnation: 2}}, 0, 2},
		{"late report of the earlier life", []report{{version: 2, incarnation: 2}, {version: 5, incarnation: 1}}, 0, 2},
		{"incarnation that went back", []report{{version: 5, incarnation: 9}, {version: 2, incarnation: 1}}, lease, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			known := table{}
			for i, r := range c.reports {
				at := now
				if i == len(c.reports)-1 {
					at = now.Add(c.after)
				}
				r.name = "a"
				known.note(r, at, lease)
			}
			is.Equal(known["a"].version, c.want)
		})
	}
}

// Guards against a table that keeps every instance that ever reported.
func TestSilentUnknownInstancesAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	known := table{}
	known.note(report{name: "gone"}, now, time.Second)
	known.note(report{name: "member"}, now, time.Second)
	known.forget([]Member{{Name: "member"}}, now.Add(2*time.Second), time.Second)
	is.Equal(len(known), 1)
}

// Guards against a handler that panics on a body, or that takes one for a change.
func FuzzHandlers(f *testing.F) {
	net := newNet()
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
