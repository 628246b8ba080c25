package configuration

import (
	"fmt"

	"github.com/primrosebeam/primrosebeam/label"
	"github.com/primrosebeam/primrosebeam/strictjson"
)

// Reasons that validation adds to those of strictjson.
const (
	ReasonEmptySelection strictjson.Reason = "selector matches no engine"
	ReasonSelector       strictjson.Reason = "invalid selector"
)

func validate(document *Document, at *strictjson.Document) {
	for i, service := range document.Services {
		field := fmt.Sprintf("services[%d].engines", i)
		selector, err := label.ParseSelector(service.Engines)
		if err != nil {
			at.Add(field, ReasonSelector, err.Error())
			continue
		}
		if !matchesAny(selector, document.Engines) {
			at.Add(field, ReasonEmptySelection, service.Engines)
		}
	}
}

func matchesAny(selector label.Selector, engines []Engine) bool {
	for _, engine := range engines {
		if selector.Matches(engine.Labels) {
			return true
		}
	}
	return false
}
