package prompt_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/prompt"
)

func estimate(t *testing.T, model string, contents ...string) prompt.Estimate {
	t.Helper()
	var messages []map[string]string
	for _, content := range contents {
		messages = append(messages, map[string]string{"role": "user", "content": content})
	}
	data, err := json.Marshal(map[string]any{"model": model, "messages": messages})
	if err != nil {
		t.Fatal(err)
	}
	var request prompt.Request
	if err := json.Unmarshal(data, &request); err != nil {
		t.Fatal(err)
	}
	return request.Estimate()
}

// Guards against hashes that do not cover the complete prompt up to their block. A longer conversation must
// share the blocks of its beginning; a conversation with another model or another beginning must share none.
func TestBlocksAreChained(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("site report ", 200)
	short := estimate(t, "m", text).Blocks
	long := estimate(t, "m", text, text).Blocks
	is.True(len(short) > 5)
	is.True(slices.Equal(long[:len(short)], short))
	is.True(short[0] != estimate(t, "n", text).Blocks[0])
	other := estimate(t, "m", "X"+text).Blocks
	for i := range short {
		is.True(other[i] != short[i])
	}
}

// Guards against an estimate that panics or exceeds its limits.
func FuzzEstimate(f *testing.F) {
	f.Add([]byte(`{"model":"m","max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var request prompt.Request
		if json.Unmarshal(data, &request) != nil {
			return
		}
		if e := request.Estimate(); e.PromptTokens < 1 || e.OutputTokens < 1 || len(e.Blocks) > len(data) {
			t.Fatalf("estimate out of range: %+v", e)
		}
	})
}
