package settings_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/settings"
	"github.com/primrosebeam/primrosebeam/strictjson"
)

// Guards against validation that stops at the first fault, so that an operator needs several attempts to
// correct a file.
func TestParseReportsEveryFault(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse([]byte(`{
  "name": "",
  "dataCentre": "bern",
  "listen": {"callers": "localhost:80", "operators": "127.0.0.1:81"},
  "roles": ["leader"],
  "operatorTokenFile": "token",
  "peers": [
    {"name": "b", "dataCentre": "olten", "address": "127.0.0.1:1"},
    {"name": "b", "dataCentre": "olten", "address": "127.0.0.1:2"},
  ],
}`))
	var faults *strictjson.FaultsError
	is.True(errors.As(err, &faults))
	var got []string
	for _, fault := range faults.Faults {
		got = append(got, fault.Field)
	}
	is.Equal(got, []string{
		"name", "listen.callers", "listen.instances", "roles[0]", "dataFolder", "sharedKeyFile", "peers[1].name",
	})
}

// Guards against defaults that are not set for settings with only the required fields.
func TestParseSetsDefaults(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse([]byte(`{"name":"a","dataCentre":"bern","operatorTokenFile":"t",
"listen":{"callers":"127.0.0.1:0","operators":"127.0.0.1:0"}}`))
	is.NoErr(err)
	is.True(s.Limits.BodyBytes > 0)
	is.True(s.StopTimeout > 0)
	is.Equal(s.Log.Level, "info")
}

// Guards against input that makes the decoder panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name":"a","peers":[{}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = settings.Parse(data)
	})
}
