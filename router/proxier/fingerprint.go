package proxier

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/quarantiner"
)

// fingerprintBytes is how much of the hash of a request is its fingerprint.
const fingerprintBytes = 16

// fingerprintOf returns the fingerprint of a job's request with the given URI. Each field is hashed
// with its length, so that no two requests have the same input.
func fingerprintOf(j Job, uri string) identifier.Fingerprint {
	r := j.Request
	h := sha256.New()
	for _, field := range [][]byte{[]byte(r.Method), []byte(r.Host), []byte(uri), []byte(j.Customer), r.Body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		// Writing to a hash can't fail.
		_, _ = h.Write(size[:])
		_, _ = h.Write(field)
	}
	return identifier.Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// requestKeysOf returns the keys of a job's whole request. One with a query has a second one without it,
// since callers may send it again with another query. Of a request without a body that is no more than the
// path, which sound requests may share.
func requestKeysOf(j Job) []quarantiner.Key {
	uri := j.Request.URI
	keys := []quarantiner.Key{quarantiner.RequestKey(fingerprintOf(j, uri))}
	path, _, ok := strings.Cut(uri, "?")
	switch {
	case !ok:
	case len(j.Request.Body) > 0:
		keys = append(keys, quarantiner.RequestKey(fingerprintOf(j, path)))
	default:
		keys = append(keys, quarantiner.PathKey(fingerprintOf(j, path)))
	}
	return keys
}

// partKeysOf returns the keys of the shared parts of a job's prompt.
func partKeysOf(j Job) []quarantiner.Key {
	var keys []quarantiner.Key
	for _, part := range j.Request.Parts {
		keys = append(keys, quarantiner.PartKey(part))
	}
	return keys
}

// keysOf returns the keys under which crashes and answers of a job's request are recorded,
// those of the whole request first.
func keysOf(j Job) []quarantiner.Key {
	return append(requestKeysOf(j), partKeysOf(j)...)
}
