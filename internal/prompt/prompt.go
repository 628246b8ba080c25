// Package prompt reads OpenAI-compatible requests: what they are expected to cost an engine, and the
// hashes of their prompt's blocks, by which prefix caches are compared. Engines report their cache
// in the same hashes; one that uses others needs an adapter.
package prompt

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens that one block is taken to have.
const BlockTokens = blockBytes / bytesPerToken

const (
	bytesPerToken       = 4   // English and German text average about four bytes a token
	blockBytes          = 256 // one block of the prefix index, about 64 tokens
	maxPrefixBlocks     = 256 // blocks hashed per prompt; later ones seldom recur
	defaultOutputTokens = 128 // assumed when a request sets no bound
	maxOutputTokens     = 1 << 20
)

// Request is the part of an OpenAI-compatible request that the estimate needs.
type Request struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// Estimate is what a request is expected to cost an engine.
type Estimate struct {
	PromptTokens int
	OutputTokens int      // the request's bound, or a common length
	Blocks       []uint64 // chained hashes of the prompt's blocks, first block first
}

// Estimate returns the expected cost of the request.
func (r *Request) Estimate() Estimate {
	hasher := newPrefixHasher(r.Model)
	hasher.add(r.Prompt)
	for _, message := range r.Messages {
		hasher.add([]byte(message.Role))
		hasher.add(message.Content)
	}
	output := max(r.MaxTokens, r.MaxCompletionTokens)
	if output <= 0 {
		output = defaultOutputTokens
	}
	return Estimate{
		PromptTokens: hasher.total/bytesPerToken + 1,
		OutputTokens: min(output, maxOutputTokens),
		Blocks:       hasher.blocks,
	}
}

// prefixHasher chains block hashes, so that a block's hash stands for the whole prompt up to its end.
type prefixHasher struct {
	digest  *xxhash.Digest
	pending int
	total   int
	blocks  []uint64
}

func newPrefixHasher(model string) *prefixHasher {
	h := &prefixHasher{digest: xxhash.New()}
	_, _ = h.digest.WriteString(model)
	return h
}

func (h *prefixHasher) add(text []byte) {
	h.total += len(text)
	for len(text) > 0 && len(h.blocks) < maxPrefixBlocks {
		n := min(blockBytes-h.pending, len(text))
		_, _ = h.digest.Write(text[:n])
		text = text[n:]
		h.pending += n
		if h.pending == blockBytes {
			h.blocks = append(h.blocks, h.digest.Sum64())
			h.pending = 0
		}
	}
}
