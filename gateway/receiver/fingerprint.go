package receiver

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// fingerprint returns a hash of what identifies a request that its caller repeats.
func fingerprint(method, uri, account string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, field := range []string{method, uri, account} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = d.Write(length[:]) // a hash does not fail
		_, _ = d.WriteString(field)
	}
	_, _ = d.Write(body)
	return d.Sum64()
}
