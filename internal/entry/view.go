package entry

import "github.com/primrosebeam/primrosebeam/configuration"

// view is one configuration in force together with the addresses of its engines. It does not change.
type view struct {
	*configuration.View
	urls map[string]string // by engine
}

func newView(resolved *configuration.View) *view {
	v := &view{View: resolved, urls: map[string]string{}}
	for _, engine := range resolved.Document().Engines {
		v.urls[engine.Name] = engine.URL
	}
	return v
}
