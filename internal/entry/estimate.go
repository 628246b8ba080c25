package entry

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

const (
	bytesPerToken       = 4   // English and German text average about four bytes a token
	blockBytes          = 256 // one block of the prefix index, about 64 tokens
	maxPrefixBlocks     = 256 // blocks hashed per prompt; later ones seldom recur
	defaultOutputTokens = 128 // assumed when a request sets no bound
	maxOutputTokens     = 1 << 20
)

// completion is the part of an OpenAI-compatible request that the estimate needs.
type completion struct {
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

// estimate is what a request is expected to cost an engine.
type estimate struct {
	promptTokens int
	outputTokens int
	prefix       []uint64
}

func (c *completion) estimate() estimate {
	hasher := newPrefixHasher(c.Model)
	hasher.add(c.Prompt)
	for _, message := range c.Messages {
		hasher.add([]byte(message.Role))
		hasher.add(message.Content)
	}
	output := max(c.MaxTokens, c.MaxCompletionTokens)
	if output <= 0 {
		output = defaultOutputTokens
	}
	return estimate{
		promptTokens: hasher.total/bytesPerToken + 1,
		outputTokens: min(output, maxOutputTokens),
		prefix:       hasher.blocks,
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
