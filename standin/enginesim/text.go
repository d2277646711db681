package enginesim

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Sizes of prompt tokens and of the blocks in which prefixes are hashed.
const (
	BytesPerToken   = 4
	BlockTokens     = 1024
	blockBytes      = BlockTokens * BytesPerToken
	maxPrefixHashes = 64 // blocks per prompt that the prefix cache can hold
)

// wordLetters makes an emitted token as long as a prompt token: a space and
// three letters. A continued prompt then counts each emitted token as one.
const wordLetters = BytesPerToken - 1

// stopHashFactor is an odd 64-bit multiplier. It makes the decision to stop
// independent of the choice of the word, which uses the same hash.
const stopHashFactor = 0x9e3779b97f4a7c15

// PromptTokens returns the number of tokens of a text of n bytes.
func PromptTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

// Answer returns the complete answer to a prompt, one string per token, and its
// finish reason. An engine that gets the prompt plus a part of the answer
// returns the rest of it.
func Answer(prompt []byte, maxTokens int, stopProbability float64) ([]string, string) {
	digest := xxhash.New()
	_, _ = digest.Write(prompt) // never fails
	var texts []string
	for range maxTokens {
		text, ok := nextToken(digest, stopProbability)
		if !ok {
			return texts, FinishStop
		}
		texts = append(texts, text)
	}
	return texts, FinishLength
}

// nextToken returns the token that follows the text in digest and adds it to
// digest. It returns false if the answer stops here.
func nextToken(digest *xxhash.Digest, stopProbability float64) (string, bool) {
	sum := digest.Sum64()
	if stopProbability > 0 && float64(sum*stopHashFactor) < stopProbability*math.MaxUint64 {
		return "", false
	}
	word := [BytesPerToken]byte{' '}
	for i := range wordLetters {
		word[i+1] = 'a' + byte(sum%26)
		sum /= 26
	}
	_, _ = digest.Write(word[:]) // never fails
	return string(word[:]), true
}

// hashPrompt writes prompt to digest and returns the hashes of its prefixes
// of complete blocks, shortest first, in one pass without copies.
func hashPrompt(digest *xxhash.Digest, prompt []byte) []uint64 {
	n := min(len(prompt)/blockBytes, maxPrefixHashes)
	hashes := make([]uint64, 0, n)
	for i := range n {
		_, _ = digest.Write(prompt[i*blockBytes : (i+1)*blockBytes]) // never fails
		hashes = append(hashes, digest.Sum64())
	}
	_, _ = digest.Write(prompt[n*blockBytes:]) // never fails
	return hashes
}
