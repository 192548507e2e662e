package quarantiner

import (
	"cmp"
	"strings"

	"heatherhold.dev/core/identifier"
)

// Scope is how much of a request a Key names.
type Scope int

// The scopes.
const (
	// SharedPart is one part of a prompt, which other requests may share.
	SharedPart Scope = iota
	// WholeRequest is all that a caller sends.
	WholeRequest
	// SharedPath is the path to which a caller sends requests without a body, which differ in their
	// queries.
	SharedPath
)

// shared reports whether sound requests may have the key as well.
func (s Scope) shared() bool {
	return s != WholeRequest
}

// Key names what the requests under which endpoints crashed have in common.
type Key struct {
	Scope Scope
	Name  string
}

const (
	// requestPrefix starts the text of a key that names a whole request. The name of a part
	// has no colon.
	requestPrefix = "request:"
	// pathPrefix starts the text of a key that names a path.
	pathPrefix = "path:"
	// claimPrefix starts, before that text, a report of a claim.
	claimPrefix = "claim:"
	// maxKeyBytes limits the text of a key in a message.
	maxKeyBytes = 64
)

// PartKey returns the key of a part of a prompt.
func PartKey(part identifier.Part) Key {
	return Key{
		Scope: SharedPart,
		Name:  string(part),
	}
}

// RequestKey returns the key of a whole request.
func RequestKey(f identifier.Fingerprint) Key {
	return Key{
		Scope: WholeRequest,
		Name:  string(f),
	}
}

// PathKey returns the key of a path, given the fingerprint of a request to it without its query.
func PathKey(f identifier.Fingerprint) Key {
	return Key{
		Scope: SharedPath,
		Name:  string(f),
	}
}

// ParseKey returns the key with the given text.
func ParseKey(text string) Key {
	if name, ok := strings.CutPrefix(text, requestPrefix); ok {
		return RequestKey(identifier.Fingerprint(name))
	}
	if name, ok := strings.CutPrefix(text, pathPrefix); ok {
		return PathKey(identifier.Fingerprint(name))
	}
	return PartKey(identifier.Part(text))
}

// String returns the text of the key, which peers and operators know it by. That of a part
// is its name.
func (k Key) String() string {
	switch k.Scope {
	case WholeRequest:
		return requestPrefix + k.Name
	case SharedPath:
		return pathPrefix + k.Name
	}
	return k.Name
}

// CompareKeys orders keys.
func CompareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.Name, b.Name))
}
