package proxier

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/quarantiner"
)

// fingerprintBytes is how much of the hash of a request is its fingerprint.
const fingerprintBytes = 16

// fingerprintOf returns the fingerprint of a job's request. Each field is hashed with its
// length, so that no two requests have the same input.
func fingerprintOf(j Job) identifier.Fingerprint {
	r := j.Request
	h := sha256.New()
	for _, field := range [][]byte{[]byte(r.Method), []byte(r.Host), []byte(r.URI), []byte(j.Customer), r.Body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		// Writing to a hash can't fail.
		_, _ = h.Write(size[:])
		_, _ = h.Write(field)
	}
	return identifier.Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// keysOf returns the keys under which crashes and answers of a job's request are recorded,
// that of the whole request first.
func keysOf(j Job) []quarantiner.Key {
	keys := []quarantiner.Key{quarantiner.RequestKey(fingerprintOf(j))}
	for _, part := range j.Request.Parts {
		keys = append(keys, quarantiner.PartKey(part))
	}
	return keys
}
