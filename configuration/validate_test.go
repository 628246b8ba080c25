package configuration_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/strictjson"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func parseFaults(t *testing.T, text string) []strictjson.Fault {
	t.Helper()
	_, err := configuration.Parse([]byte(text))
	if err == nil {
		return nil
	}
	var list *strictjson.FaultsError
	if !errors.As(err, &list) {
		t.Fatalf("not a list of faults: %v", err)
	}
	return list.Faults
}

// Guards against a validation that stops early, reports a wrong line or omits a rule. The input file
// violates every rule once, and the golden file lists the expected faults.
func TestEveryFaultIsReportedWithItsLine(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("testdata/faulty.hujson")
	is.NoErr(err)
	want, err := os.ReadFile("testdata/faulty.golden")
	is.NoErr(err)
	var got strings.Builder
	for _, fault := range parseFaults(t, string(text)) {
		fmt.Fprintln(&got, fault)
	}
	if *update {
		is.NoErr(os.WriteFile("testdata/faulty.golden", []byte(got.String()), 0o644))
	}
	is.Equal(got.String(), string(want))
}

// Guards against unknown fields that prevent the validation of the other fields.
func TestUnknownFieldDoesNotHideOtherFaults(t *testing.T) {
	is := is.New(t)
	got := parseFaults(t, `{"tiers": [], "extra": 1, "workspaces": [], "services": [], "engines": []}`)
	is.Equal(len(got), 2)
	is.Equal(got[0].Reason, strictjson.ReasonUnknownField)
	is.Equal(got[1].Reason, configuration.ReasonMissing)
}

// Guards against rules that refuse valid values or accept invalid ones next to their limits.
func TestValidationLimits(t *testing.T) {
	valid := fmt.Sprintf(smallText, hashOf("token"))
	cases := []struct {
		old, replacement string
		want             strictjson.Reason // empty if the document is valid
	}{
		{`"queueLimit": 10}, {`, `"queueLimit": 100000}, {`, ""},
		{`"queueLimit": 10}, {`, `"queueLimit": 100001}, {`, configuration.ReasonOutOfRange},
		{`"queueLimit": 10}, {`, `"queueLimit": 10, "minimumShare": 0.99}, {`, ""},
		{`"queueLimit": 10}, {`, `"queueLimit": 10, "minimumShare": 1}, {`, configuration.ReasonOutOfRange},
		{`"queueLimit": 10}, {`, `"queueLimit": 10, "deadline": "61m"}, {`, configuration.ReasonOutOfRange},
		{hashOf("token"), strings.ToUpper(hashOf("token")), ""},
		{hashOf("token"), hashOf("token")[1:], configuration.ReasonInvalidTokenHash},
		{`"app=orders"`, `""`, ""},
		{`"app=orders"`, `"app=model"`, configuration.ReasonEmptySelection},
		{`"app=orders"`, `"app="`, configuration.ReasonEmptySelection},
		{`http://127.0.0.1:9001`, `https://127.0.0.1:9001`, ""},
		{`http://127.0.0.1:9001`, `http://localhost:9001`, configuration.ReasonInvalidURL},
		{`http://127.0.0.1:9001`, `http://127.0.0.1:9001/`, configuration.ReasonInvalidURL},
		{`http://127.0.0.1:9001`, `http://user@127.0.0.1:9001`, configuration.ReasonInvalidURL},
		{`http://127.0.0.1:9001`, `http://127.0.0.1:0`, configuration.ReasonInvalidURL},
		{`"idempotent": true, `, ``, configuration.ReasonRedispatchNotIdempotent},
		{`"/orders/tours/", "methods": ["GET"]`, `"/orders/", "methods": ["PUT"]`, ""},
		{`"/orders/tours/", "methods": ["GET"]`, `"/orders/"`, configuration.ReasonOverlap},
		{`"/orders/tours/"`, `"/v1/keys/"`, configuration.ReasonReserved},
		{`"/orders/tours/"`, `"/v1/"`, ""},
		{`["bern", "olten"]`, `["bern", "aarau"]`, configuration.ReasonUnknownReference},
		{`"labels": {"app": "orders"}}, `, `}, `, ""},
	}
	for _, c := range cases {
		t.Run(c.replacement, func(t *testing.T) {
			is := is.New(t)
			got := parseFaults(t, strings.Replace(valid, c.old, c.replacement, 1))
			if c.want == "" {
				is.Equal(len(got), 0)
				return
			}
			is.Equal(len(got), 1)
			is.Equal(got[0].Reason, c.want)
		})
	}
}

// Guards against documents that exceed the limits on counts, and against limits below the design size.
func TestCountsAreBounded(t *testing.T) {
	is := is.New(t)
	document := designSizeDocument()
	_, err := configuration.Resolve(1, document)
	is.NoErr(err)
	for i := range configuration.MaxEngines {
		document.Engines = append(document.Engines, configuration.Engine{
			Name: fmt.Sprintf("more-%d", i), DataCentre: "bern", URL: fmt.Sprintf("http://10.1.0.1:%d", i+1),
		})
	}
	_, err = configuration.Resolve(1, document)
	var list *strictjson.FaultsError
	is.True(errors.As(err, &list))
	is.Equal(list.Faults[0].Reason, configuration.ReasonTooMany)
}
