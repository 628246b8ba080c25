package revision

import (
	"testing"

	"github.com/matryer/is"
)

func write(t *testing.T, g *Register, number uint64, content string) Result {
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

// Guards against a stored configuration that an older one, a repeated one or one with the same number
// replaces.
func TestOnlyHigherNumbersAreStored(t *testing.T) {
	is := is.New(t)
	var changes []uint64
	g := NewRegister(func(r Revision) { changes = append(changes, r.Number) })
	is.Equal(write(t, g, 5, "five"), Result{Stored: true, Number: 5})
	is.Equal(write(t, g, 5, "other"), Result{Stored: false, Number: 5})
	is.Equal(write(t, g, 4, "four"), Result{Stored: false, Number: 5})
	is.Equal(string(g.Current().Content), "five")
	is.Equal(write(t, g, 9, "nine"), Result{Stored: true, Number: 9})
	is.Equal(changes, []uint64{5, 9})
}

// Guards against content that a snapshot loses.
func TestSnapshotRestores(t *testing.T) {
	is := is.New(t)
	g := NewRegister(nil)
	write(t, g, 7, "seven")
	data, err := g.Snapshot()
	is.NoErr(err)
	restored := NewRegister(nil)
	is.NoErr(restored.Restore(data))
	is.Equal(restored.Current(), g.Current())
}

// FuzzApply guards against commands that crash the state machine or change it without a valid write.
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
