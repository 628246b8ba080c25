package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/label"
)

// view is one configuration compiled for request handling. It does not change.
type view struct {
	document *configuration.Document
	version  configuration.Version
	rules    []tierRule
	urls     map[string]string
}

type tierRule struct {
	when label.Selector
	tier int
}

type route struct {
	service    *configuration.Service
	path       string
	idempotent bool
	redispatch bool
}

func newView(version configuration.Version, document *configuration.Document) *view {
	v := &view{document: document, version: version, urls: map[string]string{}}
	for _, rule := range document.TierRules {
		selector, err := label.ParseSelector(rule.When)
		if err == nil {
			v.rules = append(v.rules, tierRule{when: selector, tier: v.tierIndex(rule.Tier)})
		}
	}
	for _, engine := range document.Engines {
		v.urls[engine.Name] = engine.URL
	}
	return v
}

func (v *view) tierIndex(name string) int {
	return slices.IndexFunc(v.document.Tiers, func(t configuration.Tier) bool { return t.Name == name })
}

func (v *view) workspace(token string) (string, bool) {
	sum := sha256.Sum256([]byte(token))
	digest := []byte(hex.EncodeToString(sum[:]))
	found := ""
	for _, workspace := range v.document.Workspaces {
		for _, stored := range workspace.TokenSHA256 {
			if subtle.ConstantTimeCompare(digest, []byte(stored)) == 1 {
				found = workspace.Name
			}
		}
	}
	return found, found != ""
}

func (v *view) route(method, path string) (route, bool) {
	best := route{}
	for i := range v.document.Services {
		service := &v.document.Services[i]
		for _, r := range service.Routes {
			if len(r.Path) < len(best.path) || !matchesPath(r.Path, path) {
				continue
			}
			if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
				continue
			}
			best = route{service: service, path: r.Path, idempotent: method == http.MethodGet || method == http.MethodHead, redispatch: r.Redispatch}
			if r.Idempotent != nil {
				best.idempotent = *r.Idempotent
			}
		}
	}
	return best, best.service != nil
}

func matchesPath(pattern, path string) bool {
	if strings.HasSuffix(pattern, "/") {
		return strings.HasPrefix(path, pattern)
	}
	return pattern == path
}

// tier returns the index of the tier of a request; without a matching rule it is the lowest tier.
func (v *view) tier(labels label.Set) int {
	for _, rule := range v.rules {
		if rule.when.Matches(labels) {
			return rule.tier
		}
	}
	return len(v.document.Tiers) - 1
}
