package strictjson_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/strictjson"
)

type sample struct {
	Name    string              `json:"name"`
	Timeout strictjson.Duration `json:"timeout"`
	Items   []item              `json:"items"`
}

type item struct {
	Count int `json:"count"`
}

// Guards against a decoder that stops at the first fault or reports a wrong line.
func TestDecodeReportsEveryFault(t *testing.T) {
	is := is.New(t)
	text := `{
  // A comment.
  "name": 3,
  "timeout": "soon",
  "items": [
    {"count": "x"},
    {"count": 1, "other": 2},
    {"count": 1, "count": 2},
  ],
}`
	var faults *strictjson.FaultsError
	is.True(errors.As(strictjson.Decode([]byte(text), &sample{}).Err(), &faults))
	var got []string
	for _, fault := range faults.Faults {
		got = append(got, fault.String())
	}
	is.Equal(got, []string{
		"line 3: name: wrong type: want a string",
		`line 4: timeout: wrong type: want a duration such as "500ms"`,
		"line 6: items[0].count: wrong type: want a whole number",
		"line 7: items[1].other: unknown field",
		"line 8: items[2].count: duplicate field",
	})
}

// Guards against a decoder that panics on invalid input.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"a","timeout":"1s","items":[{"count":1}]}`))
	f.Add([]byte(`{"name":`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		strictjson.Decode(data, &sample{})
	})
}
