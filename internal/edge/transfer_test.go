package edge

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/fleet"
)

// partOf returns the part of a configuration that begins at offset.
func partOf(number uint64, content []byte, offset int) *fleet.Fetched {
	end := min(offset+fleet.MaxPartBytes, len(content))
	return &fleet.Fetched{Number: number, Offset: offset, Size: len(content), Part: content[offset:end]}
}

// Guards against a transfer that starts over when another control instance continues it.
func TestTransferContinuesAfterFailure(t *testing.T) {
	is := is.New(t)
	content := bytes.Repeat([]byte("0123456789"), fleet.MaxPartBytes/4)
	collected := transfer{above: 3}
	is.NoErr(collected.add(partOf(4, content, 0)))
	is.Equal(collected.next(), fleet.Fetch{Number: 4, Offset: fleet.MaxPartBytes})
	is.True(!collected.isComplete())
	is.NoErr(collected.add(partOf(4, content, fleet.MaxPartBytes)))
	is.NoErr(collected.add(partOf(4, content, 2*fleet.MaxPartBytes)))
	is.True(collected.isComplete())
	is.Equal(collected.content, content)
}

// Guards against a configuration that is put together from parts of two.
func TestTransferRefusesForeignPart(t *testing.T) {
	content := make([]byte, 3*fleet.MaxPartBytes)
	short := partOf(4, content, fleet.MaxPartBytes)
	short.Part = short.Part[:10]
	for _, test := range []struct {
		name string
		part *fleet.Fetched
	}{
		{"older configuration", partOf(2, content, 0)},
		{"configuration in force", partOf(3, content, 0)},
		{"later part of a newer configuration", partOf(5, content, fleet.MaxPartBytes)},
		{"part that was received", partOf(4, content, 0)},
		{"part after the next one", partOf(4, content, 2*fleet.MaxPartBytes)},
		{"other size", &fleet.Fetched{Number: 4, Offset: fleet.MaxPartBytes, Size: 1, Part: []byte("x")}},
		{"empty part", &fleet.Fetched{Number: 4, Offset: fleet.MaxPartBytes, Size: len(content)}},
		{"short part", short},
		{"no configuration", &fleet.Fetched{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			collected := transfer{above: 3}
			is.NoErr(collected.add(partOf(4, content, 0)))
			var unusable *UnusablePartError
			is.True(errors.As(collected.add(test.part), &unusable))
			is.Equal(collected.next(), fleet.Fetch{Number: 4, Offset: fleet.MaxPartBytes})
		})
	}
}

// Guards against a transfer that waits for a configuration that no control instance keeps any more.
func TestTransferTurnsToNewerConfiguration(t *testing.T) {
	is := is.New(t)
	collected := transfer{}
	is.NoErr(collected.add(partOf(4, make([]byte, 2*fleet.MaxPartBytes), 0)))
	is.NoErr(collected.add(partOf(9, []byte("newer"), 0)))
	is.True(collected.isComplete())
	is.Equal(string(collected.content), "newer")
}
