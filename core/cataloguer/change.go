package cataloguer

import (
	"time"

	"heatherhold.dev/core/identifier"
)

// Change is an update to the contents of a table of the platform.
type Change[T any] struct {
	// Complete is set if Set holds the complete table, not only the rows that changed.
	Complete bool
	// Restored is set if the platform's store was restored from an older copy since the
	// last change: rows may be as they were some time ago, or missing until they are
	// written again. Complete is set then, too.
	Restored bool
	// Set holds the values of rows, by key. It is applied after Removed.
	Set map[string]T
	// Removed holds the keys of the rows that were removed. A row whose key is also
	// in Set was written again later.
	Removed []string
	// Position is the point in the history of the platform's store up to which the change is
	// complete; zero if it is not known.
	Position identifier.Position
	// RequestedAt is when the request for the change was sent: the change includes all
	// writes that were acknowledged by then.
	RequestedAt time.Time
	// FailedAt is when the last failed request to the platform ended, if another
	// instance that provided the change had one; otherwise it is zero.
	FailedAt time.Time
}

// Remove records the removal of a row and discards the value that it had in Set.
func (c *Change[T]) Remove(key string) {
	delete(c.Set, key)
	c.Removed = append(c.Removed, key)
}
