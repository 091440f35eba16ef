package prompt_test

import (
	"fmt"
	"strings"
	"testing"

	"cardamomward/core/prompt"
)

// BenchmarkHistory hashes a whole conversation and estimates its tokens, as each turn does.
func BenchmarkHistory(b *testing.B) {
	const tokensPerTurn, bytesPerToken = 4182, 4
	for _, turns := range []int{1, 11, 110} {
		b.Run(fmt.Sprintf("turns=%d", turns), func(b *testing.B) {
			messages := make([]prompt.Message, 0, 2*turns)
			for range turns {
				messages = append(messages,
					prompt.Message{Role: "user", Content: strings.Repeat("text", tokensPerTurn-303)},
					prompt.Message{Role: "assistant", Content: strings.Repeat("text", 303)})
			}
			b.SetBytes(int64(turns * tokensPerTurn * bytesPerToken))
			b.ReportAllocs()
			for b.Loop() {
				prompt.Fingerprint("workspace-8500", messages)
				prompt.PrefixHashes(messages)
				prompt.EstimateTotalTokens(messages)
			}
		})
	}
}
