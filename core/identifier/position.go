package identifier

import "cmp"

// RowVersion is the number of a transaction of the platform's store; it increases with
// each transaction.
type RowVersion uint64

// Position is a point in the history of the platform's store. A version alone says nothing
// across eras: after a restoration from an older copy, versions are given out again. The
// zero value means that no point is known.
type Position struct {
	Era     Era
	Version RowVersion
}

// Compare returns -1 if p comes before q, 0 if they are equal, and 1 otherwise.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version))
}

// Before reports whether p comes before q.
func (p Position) Before(q Position) bool {
	return p.Compare(q) < 0
}
