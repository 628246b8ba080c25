// Package prompt estimates the cost of OpenAI-compatible requests for an engine and computes the hashes of
// the blocks of their prompts, which identify the contents of prefix caches. Engines report the contents of
// their caches by the same hashes; an engine with other hashes needs an adapter.
package prompt

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the estimated number of tokens in one block.
const BlockTokens = blockBytes / bytesPerToken

const (
	bytesPerToken       = 4       // English and German text has about four bytes per token on average
	blockBytes          = 256     // size of one block of the prefix index; about 64 tokens
	maxPrefixBlocks     = 256     // maximum number of blocks hashed per prompt; later blocks seldom recur
	defaultOutputTokens = 128     // assumed output when a request sets no limit
	maxOutputTokens     = 1 << 20 // upper bound on the estimated output
)

// Request holds the fields of an OpenAI-compatible request that the estimate uses.
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

// Estimate is the expected cost of a request for an engine.
type Estimate struct {
	PromptTokens int
	OutputTokens int      // limit set by the request, or a default
	Blocks       []uint64 // chained hashes of the prompt's blocks, in order
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
		PromptTokens: hasher.totalBytes/bytesPerToken + 1,
		OutputTokens: min(output, maxOutputTokens),
		Blocks:       hasher.blocks,
	}
}

// prefixHasher computes chained block hashes: the hash of a block covers the complete prompt up to its end.
type prefixHasher struct {
	digest     *xxhash.Digest
	blockFill  int      // bytes hashed of the current block
	totalBytes int      // bytes of the prompt so far
	blocks     []uint64 // hashes of the complete blocks
}

func newPrefixHasher(model string) *prefixHasher {
	h := &prefixHasher{digest: xxhash.New()}
	_, _ = h.digest.WriteString(model)
	return h
}

func (h *prefixHasher) add(text []byte) {
	h.totalBytes += len(text)
	for len(text) > 0 && len(h.blocks) < maxPrefixBlocks {
		n := min(blockBytes-h.blockFill, len(text))
		_, _ = h.digest.Write(text[:n])
		text = text[n:]
		h.blockFill += n
		if h.blockFill == blockBytes {
			h.blocks = append(h.blocks, h.digest.Sum64())
			h.blockFill = 0
		}
	}
}
