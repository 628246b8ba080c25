package edge

import (
	"github.com/cespare/xxhash/v2"

	"github.com/primrosebeam/primrosebeam/placement"
)

// fingerprints returns what the repetitions of a request have in common: its caller, path and body, and these
// together with the query if it has one. A caller is a workspace; all anonymous requests have the same one.
func (x *exchange) fingerprints() []placement.PartID {
	h := xxhash.New()
	add := func(field string) {
		_, _ = h.WriteString(field) // never fails
		_, _ = h.Write([]byte{0})   // keeps the fields apart
	}
	add(x.request.Method)
	add(x.request.Host)
	add(x.request.URL.EscapedPath())
	caller := ""
	if x.workspace != nil {
		caller = x.workspace.Name
	}
	add(caller)
	_, _ = h.Write(x.body)
	list := []placement.PartID{placement.PartID(h.Sum64())}
	if query := x.request.URL.RawQuery; query != "" {
		add("")
		add(query)
		list = append(list, placement.PartID(h.Sum64()))
	}
	return list
}
