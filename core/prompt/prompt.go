package prompt

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cardamomward/core/id"
)

// Message is a message of the chat-completions protocol.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// PrefixHash is the hash of the first messages of a conversation.
type PrefixHash uint64

const (
	// bytesPerToken is the assumed text length of a token, for estimates before an engine has counted the tokens.
	bytesPerToken = 4
	// tokensPerMessage is the assumed overhead of each message in tokens.
	tokensPerMessage = 4
)

// EstimateTokens returns an estimate of the number of tokens of a message.
func EstimateTokens(m Message) id.Tokens {
	return tokensPerMessage + id.Tokens((len(m.Content)+bytesPerToken-1)/bytesPerToken)
}

// EstimateTotalTokens returns an estimate of the number of tokens of all messages together.
func EstimateTotalTokens(messages []Message) id.Tokens {
	var total id.Tokens
	for _, m := range messages {
		total += EstimateTokens(m)
	}

	return total
}

// Extend returns the hash of the prefix followed by a message.
func (p PrefixHash) Extend(m Message) PrefixHash {
	var digest xxhash.Digest
	digest.Reset()
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(p))
	digest.Write(seed[:])         //nolint:errcheck // never fails
	digest.WriteString(m.Role)    //nolint:errcheck // never fails
	digest.Write([]byte{0})       //nolint:errcheck // never fails
	digest.WriteString(m.Content) //nolint:errcheck // never fails

	return PrefixHash(digest.Sum64())
}

// PrefixHashes returns the hash of each prefix of the messages, the shortest first.
func PrefixHashes(messages []Message) []PrefixHash {
	hashes := make([]PrefixHash, len(messages))
	var hash PrefixHash
	for i, m := range messages {
		hash = hash.Extend(m)
		hashes[i] = hash
	}

	return hashes
}

// PrefixTokens returns an estimate of the number of tokens of each prefix of the messages, the shortest first.
func PrefixTokens(messages []Message) []id.Tokens {
	tokens := make([]id.Tokens, len(messages))
	var total id.Tokens
	for i, m := range messages {
		total += EstimateTokens(m)
		tokens[i] = total
	}

	return tokens
}

// Fingerprint returns the hash that identifies a request by its workspace and messages.
func Fingerprint(workspace id.Workspace, messages []Message) id.Fingerprint {
	hash := PrefixHash(xxhash.Sum64String(string(workspace)))
	for _, m := range messages {
		hash = hash.Extend(m)
	}

	return id.Fingerprint(hash)
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
