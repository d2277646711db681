package backend

import (
	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the size of the blocks in which prompt prefixes are
// hashed: 1,024 tokens of 4 bytes.
const PrefixBlockBytes = 4096

// MaxPrefixHashes bounds the hashes per prompt; 64 blocks are 65,536 tokens.
const MaxPrefixHashes = 64

// PrefixHashes returns the hashes of the prompt's prefixes of 1, 2, 3, ...
// complete blocks, shortest first. Equal prefixes have equal hashes.
func PrefixHashes(prompt []byte) []uint64 {
	n := min(len(prompt)/PrefixBlockBytes, MaxPrefixHashes)
	hashes := make([]uint64, 0, n)
	digest := xxhash.New()
	for i := range n {
		block := prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes]
		_, _ = digest.Write(block) // never fails
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
