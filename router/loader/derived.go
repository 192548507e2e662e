package loader

const (
	// bodyMemoryDivisor is the part of the process's memory that unfinished request bodies may
	// fill: one in bodyMemoryDivisor.
	bodyMemoryDivisor = 8
	// defaultBodyMemory is the memory for unfinished request bodies if the process's memory is not
	// known, in bytes.
	defaultBodyMemory = 64 << 20
)

// memory returns the memory that the process may use, in bytes; 0 if it is not known.
func (s *Settings) memory() int64 {
	if s.Store == nil {
		return 0
	}
	return s.Store.MemoryMB << 20
}

// BodyMemory returns the memory for all unfinished request bodies together, in bytes.
func (s *Settings) BodyMemory() int64 {
	switch {
	case s.Caller.BodyMemory > 0:
		return s.Caller.BodyMemory
	case s.memory() > 0:
		return s.memory() / bodyMemoryDivisor
	}
	return defaultBodyMemory
}
