package fleet

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against stored content that is not the configuration that was sent.
func TestExpandInvertsCompress(t *testing.T) {
	for _, document := range [][]byte{nil, []byte(`{"Version":1}`), bytes.Repeat([]byte(` {"Name":"r"}`), 10_000)} {
		is := is.New(t)
		content, err := Compress(document)
		is.NoErr(err)
		expanded, err := Expand(content)
		is.NoErr(err)
		is.True(bytes.Equal(expanded, document))
	}
}

// Guards against a configuration on the disk of an earlier release that cannot be read.
func TestExpandReturnsUncompressedContent(t *testing.T) {
	is := is.New(t)
	expanded, err := Expand([]byte(` {"Version":1}`))
	is.NoErr(err)
	is.Equal(string(expanded), ` {"Version":1}`)
}

// Guards against damaged content that is decoded, and against content that exhausts the memory.
func TestExpandRefusesUnusableContent(t *testing.T) {
	long, err := Compress(make([]byte, MaxDocumentBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	good, err := Compress([]byte(`{"Version":1}`))
	if err != nil {
		t.Fatal(err)
	}
	damaged := bytes.Clone(good)
	damaged[len(damaged)-1] ^= 1
	for name, content := range map[string][]byte{"too long": long, "damaged": damaged, "cut": good[:len(good)-2], "header only": good[:1]} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Expand(content)
			var unusable *ContentError
			is.True(errors.As(err, &unusable))
		})
	}
}
