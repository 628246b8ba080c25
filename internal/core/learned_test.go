package core

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/placement"
)

// TestLearnedFile guards against a damaged or torn file that is used, and against a lost one that keeps a control
// instance from starting.
func TestLearnedFile(t *testing.T) {
	is := is.New(t)
	file := newLearnedFile(t.TempDir())
	_, err := file.load()
	is.True(err != nil)
	want := placement.Learned{StepMS: 3, PrefillMS: 0.01, Engines: []placement.LearnedEngine{{ID: "e", Slowness: 2, Samples: 3}}}
	is.NoErr(file.save(want))
	got, err := file.load()
	is.NoErr(err)
	is.Equal(got, want)
	data, err := os.ReadFile(file.path)
	is.NoErr(err)
	for _, damaged := range [][]byte{{}, data[:10], data[:len(data)-1], append([]byte{data[0] ^ 1}, data[1:]...)} {
		is.NoErr(os.WriteFile(file.path, damaged, 0o600))
		_, err = file.load()
		is.True(err != nil)
	}
}

func FuzzDecodeLearned(f *testing.F) {
	f.Add([]byte("too short"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if l, err := decodeLearned("learned", data); err == nil {
			placement.New().TakeOver(l)
		}
	})
}
