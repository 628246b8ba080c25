package label_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/label"
)

// Guards against a selector that matches more or fewer label sets than its text specifies.
func TestSelectorMatches(t *testing.T) {
	labels := label.Set{"model": "m1", "hardware": "g3"}
	for text, want := range map[string]bool{
		"":                           true,
		"model=m1":                   true,
		"model=m2":                   false,
		"model!=m2":                  true,
		"absent!=x":                  true,
		"hardware in (g2, g3)":       true,
		"hardware notin (g2,g3)":     false,
		"model":                      true,
		"!model":                     false,
		"!absent":                    true,
		"model=m1, hardware in (g1)": false,
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			selector, err := label.ParseSelector(text)
			is.NoErr(err)
			is.Equal(selector.Matches(labels), want)
			is.Equal(selector.String(), text)
		})
	}
}

// Guards against malformed text that is parsed as a selector matching every label set.
func TestSelectorRejectsMalformedText(t *testing.T) {
	for _, text := range []string{",", "a=b,", "a in", "a in (", "a in (b", "=b", "a b", "!", "a==b", "in", "a=b c"} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			_, err := label.ParseSelector(text)
			var syntax *label.SyntaxError
			is.True(errors.As(err, &syntax))
		})
	}
}

// Guards against a parser that panics, and against selectors that do not return their text.
func FuzzParseSelector(f *testing.F) {
	f.Add("a=b,c!=d,e in (x,y),f notin (z),g,!h")
	f.Add("a in (b")
	f.Fuzz(func(t *testing.T, text string) {
		selector, err := label.ParseSelector(text)
		if err == nil && selector.String() != text {
			t.Fatalf("selector returns another text: %q", selector.String())
		}
	})
}

// Guards against a parser that accepts label sets beyond the limits.
func FuzzParseSet(f *testing.F) {
	f.Add("a=b,c=d")
	f.Fuzz(func(t *testing.T, text string) {
		set, err := label.ParseSet(text)
		if err == nil && set.Check() != nil {
			t.Fatalf("accepted a set that exceeds the limits: %v", set)
		}
	})
}
