package entry

import "github.com/primrosebeam/primrosebeam/configuration"

// view is a configuration together with the URLs of its engines. It is immutable.
type view struct {
	*configuration.View
	urls map[string]string // URL by engine name
}

func newView(resolved *configuration.View) *view {
	v := &view{View: resolved, urls: map[string]string{}}
	for _, engine := range resolved.Document().Engines {
		v.urls[engine.Name] = engine.URL
	}
	return v
}
