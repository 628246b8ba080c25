package entry

import (
	"encoding/json"

	"github.com/primrosebeam/primrosebeam/configuration"
)

// usage holds the fields of an OpenAI-compatible response that state the token counts of the request.
type usage struct {
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
		PromptDetails    *struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// readUsage reads the token counts of a model's response for the scheduler's estimates. They are optional.
func (r *relay) readUsage(body []byte) {
	if r.exchange.route.Service.Kind != configuration.KindModel {
		return
	}
	var response usage
	if json.Unmarshal(body, &response) != nil {
		return
	}
	r.result.OutputTokens = response.Usage.CompletionTokens
	if response.Usage.PromptDetails != nil {
		r.result.CachedTokens = response.Usage.PromptDetails.CachedTokens
	}
}
