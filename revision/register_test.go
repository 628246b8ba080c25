package revision

import (
	"testing"

	"github.com/matryer/is"
)

func applyWrite(t *testing.T, g *Register, number uint64, content string) Result {
	t.Helper()
	command, err := EncodeWrite(Revision{Number: number, Content: []byte(content)})
	if err != nil {
		t.Fatal(err)
	}
	result, ok := g.Apply(0, command).(Result)
	if !ok {
		t.Fatal("no result")
	}
	return result
}

// Guards against a write with a lower or the same number, including a retry, that replaces the stored
// configuration.
func TestOnlyHigherNumbersAreStored(t *testing.T) {
	is := is.New(t)
	var changes []uint64
	g := NewRegister(func(r Revision) { changes = append(changes, r.Number) })
	is.Equal(applyWrite(t, g, 5, "five"), Result{Stored: true, Number: 5})
	is.Equal(applyWrite(t, g, 5, "other"), Result{Stored: false, Number: 5})
	is.Equal(applyWrite(t, g, 4, "four"), Result{Stored: false, Number: 5})
	is.Equal(string(g.Current().Content), "five")
	is.Equal(applyWrite(t, g, 9, "nine"), Result{Stored: true, Number: 9})
	is.Equal(changes, []uint64{5, 9})
}

// Guards against content that is missing after a snapshot is restored.
func TestSnapshotRestores(t *testing.T) {
	is := is.New(t)
	g := NewRegister(nil)
	applyWrite(t, g, 7, "seven")
	data, err := g.Snapshot()
	is.NoErr(err)
	restored := NewRegister(nil)
	is.NoErr(restored.Restore(data))
	is.Equal(restored.Current(), g.Current())
}

// FuzzApply guards against commands that panic in the state machine and against undecodable commands that
// change it.
func FuzzApply(f *testing.F) {
	valid, err := EncodeWrite(Revision{Number: 1, Content: []byte("x")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewRegister(nil)
		result := g.Apply(1, data)
		if _, failed := result.(*DecodeError); failed && g.Current().Number != 0 {
			t.Fatal("an undecodable command changed the register")
		}
	})
}
