package scheduler

// Covered reports whether the listed endpoints of the declared version hold every layer, with
// or without free slots.
func (p *Pool) Covered() bool {
	return p.covered()
}
