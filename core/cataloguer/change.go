package cataloguer

import "time"

// Change is what is new in a table of the platform.
type Change[T any] struct {
	// Whole is set if Set is all that there is.
	Whole bool
	Set   map[string]T
	Gone  []string
	// Asked is when the question was sent that this answers: the change holds
	// all that was acknowledged by then.
	Asked time.Time
}

// Drop notes that a row is gone; of several changes of one row the last holds.
func (c *Change[T]) Drop(key string) {
	delete(c.Set, key)
	c.Gone = append(c.Gone, key)
}
