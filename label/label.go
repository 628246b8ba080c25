// Package label implements label sets and the selectors that match them.
package label

import (
	"fmt"
	"slices"
	"strings"
)

// Limits on a label set.
const (
	MaxLabels          = 16 // number of labels in one set
	MaxKeyOrValueBytes = 64 // length of one key or value in bytes
)

// Set maps label keys to values.
type Set map[string]string

// Reason states why a label or selector was refused.
type Reason string

// Reasons for refusing a label or selector.
const (
	ReasonTooMany      Reason = "too many labels"
	ReasonTooLong      Reason = "key or value too long"
	ReasonInvalidKey   Reason = "invalid key"
	ReasonInvalidValue Reason = "invalid value"
	ReasonDuplicate    Reason = "duplicate key"
	ReasonSyntax       Reason = "syntax error"
)

// SyntaxError reports a malformed label list or selector.
type SyntaxError struct {
	Text   string // part of the input that was refused
	Offset int    // position in the input, in bytes
	Reason Reason
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("label: %s at byte %d: %q", e.Reason, e.Offset, e.Text)
}

// ParseSet parses a label set of the form "key=value,key=value". An empty text gives an empty set. Errors
// are of type *SyntaxError.
func ParseSet(text string) (Set, error) {
	set := Set{}
	if strings.TrimSpace(text) == "" {
		return set, nil
	}
	offset := 0
	for part := range strings.SplitSeq(text, ",") {
		key, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found {
			return nil, &SyntaxError{Text: part, Offset: offset, Reason: ReasonSyntax}
		}
		if _, exists := set[key]; exists {
			return nil, &SyntaxError{Text: key, Offset: offset, Reason: ReasonDuplicate}
		}
		if reason := checkPair(key, value); reason != "" {
			return nil, &SyntaxError{Text: part, Offset: offset, Reason: reason}
		}
		set[key] = value
		if len(set) > MaxLabels {
			return nil, &SyntaxError{Text: part, Offset: offset, Reason: ReasonTooMany}
		}
		offset += len(part) + 1
	}
	return set, nil
}

// Check returns *SyntaxError when s has too many labels or a key or value that is invalid.
func (s Set) Check() error {
	if len(s) > MaxLabels {
		return &SyntaxError{Reason: ReasonTooMany}
	}
	for key, value := range s {
		if reason := checkPair(key, value); reason != "" {
			return &SyntaxError{Text: key + "=" + value, Reason: reason}
		}
	}
	return nil
}

func checkPair(key, value string) Reason {
	switch {
	case len(key) > MaxKeyOrValueBytes || len(value) > MaxKeyOrValueBytes:
		return ReasonTooLong
	case !isValidKey(key):
		return ReasonInvalidKey
	case !isValidValue(value):
		return ReasonInvalidValue
	}
	return ""
}

func isValidKey(key string) bool {
	return key != "" && key != "in" && key != "notin" && isValidValue(key)
}

func isValidValue(value string) bool {
	for _, c := range []byte(value) {
		if !isWordByte(c) {
			return false
		}
	}
	return true
}

func isWordByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
		c == '-' || c == '_' || c == '.' || c == '/'
}

type operator int

const (
	opIn operator = iota
	opNotIn
	opExists
	opAbsent
)

type requirement struct {
	key    string
	op     operator
	values []string
}

func (r requirement) matches(labels Set) bool {
	value, exists := labels[r.key]
	switch r.op {
	case opIn:
		return exists && slices.Contains(r.values, value)
	case opNotIn:
		return !exists || !slices.Contains(r.values, value)
	case opExists:
		return exists
	default:
		return !exists
	}
}

// Selector is a conjunction of requirements on labels. The zero value matches every label set.
type Selector struct {
	requirements []requirement
	text         string
}

// Matches reports whether labels satisfy every requirement.
func (s Selector) Matches(labels Set) bool {
	for _, r := range s.requirements {
		if !r.matches(labels) {
			return false
		}
	}
	return true
}

// String returns the text that the selector was parsed from.
func (s Selector) String() string { return s.text }
