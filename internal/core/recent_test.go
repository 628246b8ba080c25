package core

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/revision"
)

// Guards against frequent changes that restart every transfer, so that none is ever finished.
func TestReplacedConfigurationCanBeTransferred(t *testing.T) {
	is := is.New(t)
	var recent recentRevisions
	is.Equal(recent.part(fleet.Fetch{}), fleet.Fetched{})
	content := func(number uint64) []byte { return bytes.Repeat([]byte{byte(number)}, fleet.MaxPartBytes+10) }
	for number := uint64(1); number <= maxRecentRevisions; number++ {
		recent.add(revision.Revision{Number: number, Content: content(number)})
	}
	first := recent.part(fleet.Fetch{})
	is.Equal(first.Number, uint64(maxRecentRevisions))
	is.Equal(first.Part, content(maxRecentRevisions)[:fleet.MaxPartBytes])
	rest := recent.part(fleet.Fetch{Number: 1, Offset: fleet.MaxPartBytes})
	is.Equal(rest.Number, uint64(1))
	is.Equal(rest.Offset, fleet.MaxPartBytes)
	is.Equal(rest.Part, content(1)[fleet.MaxPartBytes:])

	recent.add(revision.Revision{Number: 9, Content: []byte("newest")})
	is.Equal(recent.part(fleet.Fetch{Number: 1, Offset: fleet.MaxPartBytes}), fleet.Fetched{Number: 9, Size: 6, Part: []byte("newest")})
	is.Equal(recent.part(fleet.Fetch{Number: 9, Offset: 7}), fleet.Fetched{Number: 9, Size: 6, Part: []byte("newest")})
}
