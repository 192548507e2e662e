// Package suppressor keeps a log short: it tells what was reported already.
package suppressor

import "fmt"

// maxErrorBytes is the length at which errors are cut.
const maxErrorBytes = 200

// Set holds the keys of what was odd when it was read last. The zero value is empty. It is not
// safe for concurrent use.
type Set struct {
	keys map[string]bool
	// former has the keys of before Begin.
	former map[string]bool
}

// Begin begins a reading of everything: after End the keys that were not added since are
// forgotten.
func (s *Set) Begin() {
	s.former = s.keys
	s.keys = nil
}

// End ends a reading of everything.
func (s *Set) End() {
	s.former = nil
}

// Add adds a key, and reports whether it is new.
func (s *Set) Add(key string) bool {
	known := s.keys[key] || s.former[key]
	if s.keys == nil {
		s.keys = make(map[string]bool)
	}
	s.keys[key] = true
	return !known
}

// Remove removes the key of what is no longer odd.
func (s *Set) Remove(key string) {
	delete(s.keys, key)
	delete(s.former, key)
}

// Cut returns the text of an error, which may contain a long excerpt of what was read, cut to
// a length for the log.
func Cut(err error) string {
	return fmt.Sprintf("%.*s", maxErrorBytes, err.Error())
}
