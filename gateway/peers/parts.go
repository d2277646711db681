package peers

import (
	"encoding/binary"
	"encoding/hex"
)

// minPackedParts is the number of parts from which they are packed, which builds without
// packed parts do not understand.
const minPackedParts = 64

// packParts encodes hexadecimal IDs in half of their length, so that those of the longest
// prompt fit a datagram. It returns false if one of them is not hexadecimal.
func packParts(parts []string) ([]byte, bool) {
	var out []byte
	for _, part := range parts {
		out = binary.AppendUvarint(out, uint64(len(part)))
		if len(part)%2 != 0 {
			part += "0"
		}
		var err error
		if out, err = hex.AppendDecode(out, []byte(part)); err != nil {
			return nil, false
		}
	}
	return out, true
}

// unpackParts decodes IDs until the end or the first that cannot be decoded.
func unpackParts(data []byte) []string {
	var parts []string
	for len(data) > 0 {
		digits, n := binary.Uvarint(data)
		if n <= 0 || digits == 0 || digits > uint64(2*len(data)) {
			break
		}
		data = data[n:]
		length := int(digits+1) / 2
		if length > len(data) {
			break
		}
		parts = append(parts, hex.EncodeToString(data[:length])[:digits])
		data = data[length:]
	}
	return parts
}
