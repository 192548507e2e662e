package loader

import (
	"math"
	"syscall"

	"github.com/pkg/errors"
)

const (
	// connectionMemory is the memory for which one connection is allowed, in bytes. An idle
	// connection takes some 20 KiB, so that all together take a sixth of the memory.
	connectionMemory = 128 << 10
	// descriptorDivisor is the part of the process's descriptors that callers' connections may use:
	// one in descriptorDivisor. A request that is served has a descriptor for its endpoint as well,
	// and endpoint connections are kept for a while, so that half would leave none for the store
	// and the peers.
	descriptorDivisor = 3
	// minConnections is the number of connections that any process's memory allows.
	minConnections = 512
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

// MaxConnections returns the largest number of callers' connections: a part of the process's limit of
// descriptors, or less if the process's memory allows fewer.
func (s *Settings) MaxConnections() (int, error) {
	if s.Caller.MaxConnections > 0 {
		return s.Caller.MaxConnections, nil
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Wrap(err, "read the limit of descriptors")
	}
	n := int64(min(limit.Cur/descriptorDivisor, math.MaxInt32))
	if s.memory() > 0 {
		n = min(n, max(s.memory()/connectionMemory, minConnections))
	}
	return int(n), nil
}
