package enginesim

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// stateHeader is the content of an exported state. The state consists of the
// length of the header (4 bytes, big endian), the header in JSON, and zero bytes
// up to the simulated size.
type stateHeader struct {
	// Segment is set if the stream was a prefilled segment, a part of a prompt
	// that several engines prefill in turn; the next segment then continues from
	// the state. Otherwise it is a paused stream.
	Segment      bool   `json:"segment"`
	Model        string `json:"model"`
	Digest       []byte `json:"digest"`        // running hash of the whole text
	Preceding    int    `json:"preceding"`     // tokens of preceding segments
	OwnTokens    int    `json:"own_tokens"`    // tokens of prompt and answer
	Prefilled    int    `json:"prefilled"`     // of OwnTokens
	PromptTokens int    `json:"prompt_tokens"` // of the whole prompt
	CachedTokens int    `json:"cached_tokens"`
	Remaining    int    `json:"remaining"` // tokens that may still be emitted
	PrefillOnly  bool   `json:"prefill_only"`
}

const stateLengthBytes = 4

// encode returns the state padded to size bytes.
func (h stateHeader) encode(size int) ([]byte, error) {
	header, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode exported state: %w", err)
	}
	state := make([]byte, max(size, stateLengthBytes+len(header)))
	binary.BigEndian.PutUint32(state, uint32(len(header)))
	copy(state[stateLengthBytes:], header)
	return state, nil
}

// decodeState returns an *Error of kind KindRefused for a malformed state.
func decodeState(state []byte) (stateHeader, *xxhash.Digest, error) {
	var h stateHeader
	if len(state) < stateLengthBytes {
		return h, nil, refusedf("state of %d bytes is too short", len(state))
	}
	n := uint64(binary.BigEndian.Uint32(state))
	if n > uint64(len(state)-stateLengthBytes) {
		return h, nil, refusedf("state header of %d bytes is incomplete", n)
	}
	if err := json.Unmarshal(state[stateLengthBytes:stateLengthBytes+n], &h); err != nil {
		return h, nil, refusedf("state header: %v", err)
	}
	digest := xxhash.New()
	if err := digest.UnmarshalBinary(h.Digest); err != nil {
		return h, nil, refusedf("state digest: %v", err)
	}
	return h, digest, nil
}
