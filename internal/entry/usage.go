package entry

import (
	"encoding/json"

	"github.com/primrosebeam/primrosebeam/configuration"
)

// usage is the part of an OpenAI-compatible answer that tells what the request cost.
type usage struct {
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
		PromptDetails    *struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// readUsage takes the cost of a model's answer for the scheduler's estimates. An answer without it is fine.
func (r *relay) readUsage(body []byte) {
	if r.exchange.route.Service.Kind != configuration.KindModel {
		return
	}
	var answer usage
	if json.Unmarshal(body, &answer) != nil {
		return
	}
	r.finish.OutputTokens = answer.Usage.CompletionTokens
	if answer.Usage.PromptDetails != nil {
		r.finish.CachedTokens = answer.Usage.PromptDetails.CachedTokens
	}
}
