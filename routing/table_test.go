package routing

import (
	"errors"
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"
)

func validDocument() *Document {
	return &Document{
		Number: 3,
		Routes: []Route{
			{Name: "all", Host: "a.example", PathPrefix: "/", Timeout: time.Second, Targets: []Target{{Service: "s1", Weight: 1}}},
			{Name: "deep", Host: "a.example", PathPrefix: "/x/y/", Timeout: time.Second, Targets: []Target{{Service: "s1", Weight: 90}, {Service: "s2", Weight: 10}}},
			{Name: "middle", Host: "A.example", PathPrefix: "/x/", Timeout: time.Second, Targets: []Target{{Service: "s2", Weight: 1}}},
		},
		Services:   []Service{{Name: "s1"}, {Name: "s2"}},
		Workspaces: []Workspace{{Name: "w1", Keys: []string{"k1", "k2"}}, {Name: "w2", Keys: []string{"k3"}}},
	}
}

// Guards against a request that is matched to a route other than the one of its host with the longest
// path prefix.
func TestMatchPrefersLongestPrefix(t *testing.T) {
	table, err := Compile(validDocument())
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ host, path, route string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example:8080", "/x/z", "middle"},
		{"A.EXAMPLE", "/x", "all"},
		{"b.example", "/x/y/z", ""},
	} {
		name := ""
		if r := table.Match(test.host, test.path); r != nil {
			name = r.Name
		}
		if name != test.route {
			t.Errorf("%s%s: route %q, want %q", test.host, test.path, name, test.route)
		}
	}
}

// Guards against accepting an invalid configuration.
func TestCompileRejectsInvalidDocument(t *testing.T) {
	for _, test := range []struct {
		name   string
		modify func(*Document)
		reason Reason
	}{
		{"unknown service", func(d *Document) { d.Routes[0].Targets[0].Service = "s9" }, ReasonUnknownService},
		{"same host and prefix", func(d *Document) { d.Routes[2].PathPrefix = "/" }, ReasonDuplicateRoute},
		{"no weight", func(d *Document) { d.Routes[0].Targets[0].Weight = 0 }, ReasonInvalidWeights},
		{"negative weight", func(d *Document) { d.Routes[1].Targets[1].Weight = -1 }, ReasonInvalidWeights},
		{"no timeout", func(d *Document) { d.Routes[0].Timeout = 0 }, ReasonInvalidTimeout},
		{"shared key", func(d *Document) { d.Workspaces[1].Keys = []string{"k1"} }, ReasonSharedKey},
		{"prefix without slash", func(d *Document) { d.Routes[1].PathPrefix = "/x/y" }, ReasonInvalidPrefix},
		{"duplicate service", func(d *Document) { d.Services[1].Name = "s1" }, ReasonDuplicateService},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := validDocument()
			test.modify(d)
			_, err := Compile(d)
			var invalid *DocumentError
			is.True(errors.As(err, &invalid))
			is.Equal(invalid.Reason, test.reason)
		})
	}
}

// Guards against a distribution over the targets of a route that does not follow their weights.
func TestPickFollowsWeights(t *testing.T) {
	is := is.New(t)
	table, err := Compile(validDocument())
	is.NoErr(err)
	route := table.Match("a.example", "/x/y/z")
	second := 0
	for i := range 1000 {
		if route.Pick(float64(i)/1000) == "s2" {
			second++
		}
	}
	is.Equal(second, 100)
	is.Equal(route.Pick(1), "s2")
}

// Guards against charging a quota in the wrong unit, tokens or requests.
func TestChargeUnit(t *testing.T) {
	is := is.New(t)
	tokens := Workspace{ChargesTokens: true, PlainTokens: 200}
	is.Equal(tokens.Charge(1540), 1540.0)
	is.Equal(tokens.Charge(0), 200.0)
	is.Equal((&Workspace{}).Charge(1540), 1.0)
}

// Guards against a timeout of a stream that is longer than its caller waits.
func TestEventTimeout(t *testing.T) {
	is := is.New(t)
	stream := Route{Kind: KindStream, Timeout: 12 * time.Second, Objective: 600 * time.Millisecond, EventGap: 400 * time.Millisecond}
	is.Equal(stream.EventTimeout(), 3200*time.Millisecond)
	stream.Objective, stream.EventGap = time.Second, 0
	is.Equal(stream.EventTimeout(), 4*time.Second)
	plain := Route{Kind: KindIdempotent, Timeout: time.Second}
	is.Equal(plain.EventTimeout(), time.Second)
}

// Guards against a match that differs from a comparison of the path with every prefix.
func TestMatchEqualsComparisonWithEveryPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"", "a", "b", "ab"})
		path := func(label string) string {
			return "/" + strings.Join(rapid.SliceOfN(segment, 0, 5).Draw(t, label), "/")
		}
		d := &Document{Services: []Service{{Name: "s"}}}
		for range rapid.IntRange(0, 8).Draw(t, "routes") {
			prefix := strings.TrimSuffix(path("prefix"), "/") + "/"
			if !slices.ContainsFunc(d.Routes, func(r Route) bool { return r.PathPrefix == prefix }) {
				d.Routes = append(d.Routes, Route{Name: prefix, Host: "h", PathPrefix: prefix, Timeout: 1, Targets: []Target{{Service: "s", Weight: 1}}})
			}
		}
		table, err := Compile(d)
		if err != nil {
			t.Fatal(err)
		}
		requested, want := path("path"), ""
		for i := range d.Routes {
			if prefix := d.Routes[i].PathPrefix; strings.HasPrefix(requested, prefix) && len(prefix) > len(want) {
				want = prefix
			}
		}
		got := ""
		if r := table.Match("h", requested); r != nil {
			got = r.Name
		}
		if got != want {
			t.Fatalf("%q: route %q, want %q", requested, got, want)
		}
	})
}

// Guards against a cost of compiling that grows with the square of the number of routes: entry instances with a
// fifth of a processor put a configuration in force later than permitted.
func TestCompileCostGrowsLinearly(t *testing.T) {
	const few, factor = 1000, 16
	cost := func(routes int) time.Duration {
		d := &Document{Services: []Service{{Name: "s"}}}
		for i := range routes {
			d.Routes = append(d.Routes, Route{Host: "h", PathPrefix: fmt.Sprintf("/%08d/", i), Timeout: 1, Targets: []Target{{Service: "s", Weight: 1}}})
		}
		least := time.Duration(math.MaxInt64)
		for range 5 {
			start := threadTime(t)
			if _, err := Compile(d); err != nil {
				t.Fatal(err)
			}
			least = min(least, threadTime(t)-start)
		}
		return least
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	base := cost(few)
	if large := cost(factor * few); large > 4*factor*base {
		t.Errorf("%d routes take %v, %d times as many take %v", few, base, factor, large)
	}
}

// threadTime returns the processor time that this thread has used.
func threadTime(t *testing.T) time.Duration {
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used); err != nil {
		t.Fatal(err)
	}
	return time.Duration(used.Nano())
}
