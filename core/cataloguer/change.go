package cataloguer

import "time"

// Change is an update to the contents of a table of the platform.
type Change[T any] struct {
	// Whole is set if Set holds the complete table, not only the rows that changed.
	Whole bool
	// Set holds the values of rows, by key.
	Set map[string]T
	// Gone holds the keys of the rows that were removed.
	Gone []string
	// Asked is when the request was sent to which this is the response: the
	// change includes all writes that were acknowledged by then.
	Asked time.Time
}

// Drop records the removal of a row. If a row changes several times, the last
// change applies.
func (c *Change[T]) Drop(key string) {
	delete(c.Set, key)
	c.Gone = append(c.Gone, key)
}
