package prompt

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cardamomward/core/id"
)

// Message is one message of a conversation in the chat-completions protocol.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prefix is the hash of a run of messages from the start of a conversation.
type Prefix uint64

const (
	// bytesPerToken is the estimate used before an engine has counted.
	bytesPerToken = 4
	// messageTokens is the overhead of each message.
	messageTokens = 4
)

// Estimate returns about how many tokens a message has.
func Estimate(m Message) id.Tokens {
	return messageTokens + id.Tokens((len(m.Content)+bytesPerToken-1)/bytesPerToken)
}

// EstimateAll returns about how many tokens the messages have together.
func EstimateAll(messages []Message) id.Tokens {
	var total id.Tokens
	for _, m := range messages {
		total += Estimate(m)
	}

	return total
}

// Extend returns the hash of a prefix with one more message.
func (p Prefix) Extend(m Message) Prefix {
	var digest xxhash.Digest
	digest.Reset()
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(p))
	digest.Write(seed[:])         //nolint:errcheck // never fails
	digest.WriteString(m.Role)    //nolint:errcheck // never fails
	digest.Write([]byte{0})       //nolint:errcheck // never fails
	digest.WriteString(m.Content) //nolint:errcheck // never fails

	return Prefix(digest.Sum64())
}

// Chain returns the hash of each prefix of the messages, shortest first.
func Chain(messages []Message) []Prefix {
	chain := make([]Prefix, len(messages))
	var last Prefix
	for i, m := range messages {
		last = last.Extend(m)
		chain[i] = last
	}

	return chain
}

// Lengths returns about how many tokens each prefix of the messages has, shortest first.
func Lengths(messages []Message) []id.Tokens {
	lengths := make([]id.Tokens, len(messages))
	var total id.Tokens
	for i, m := range messages {
		total += Estimate(m)
		lengths[i] = total
	}

	return lengths
}

// Fingerprint returns the hash that identifies a request's content.
func Fingerprint(workspace id.Workspace, messages []Message) id.Fingerprint {
	last := Prefix(xxhash.Sum64String(string(workspace)))
	for _, m := range messages {
		last = last.Extend(m)
	}

	return id.Fingerprint(last)
}

// HasPrefix reports whether messages begin with history.
func HasPrefix(messages, history []Message) bool {
	if len(messages) < len(history) {
		return false
	}
	for i, m := range history {
		if messages[i] != m {
			return false
		}
	}

	return true
}
