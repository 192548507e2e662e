package messenger

import (
	"fmt"

	"heatherhold.dev/core/identifier"
)

// The JSON messages of the platform's table service and instance list.

// Row is one row of the table; Version 0 means that the row does not exist.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Commit changes rows in one transaction.
type Commit struct {
	// If lists the rows that must have the given version; 0 means that the row
	// must not exist.
	If []Row `json:"if"`
	// Put lists the rows to write; Version is ignored.
	Put []Row `json:"put"`
}

// Committed is the response to a Commit. Conflicts lists the rows whose version
// differs; if there are any, nothing was written.
type Committed struct {
	Conflicts []Row `json:"conflicts,omitempty"`
}

// Rows is the response to a scan.
type Rows struct {
	Rows []Row `json:"rows"`
}

// RouterRole is the role of router instances in the platform's list.
const RouterRole = "router"

// ListedInstance is one entry of the platform's instance list, which lags behind the
// actual state.
type ListedInstance struct {
	Name string `json:"name"`
	// Role is RouterRole or the service that the endpoint serves.
	Role        string `json:"role"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	DataCentre  string `json:"data-centre"`
	Site        string `json:"site"`
	Leaving     bool   `json:"leaving"`
	// Processor is the processor time that a router instance may use, in thousandths
	// of a core; 0 if it is not known.
	Processor uint32 `json:"processor,omitempty"`
}

// RegisteredInstance is an instance's row in the registry of a platform that has a store. It
// says that the instance was started once, and not that it still runs.
type RegisteredInstance struct {
	ListedInstance
	// Row is the version of the row.
	Row identifier.RowVersion
}

const (
	// MaxIncarnation is the latest start that is believed, in Unix nanoseconds: in the year
	// 2116.
	MaxIncarnation = 1 << 62
	// maxProcessor is the greatest processor time that is believed. Instances that are much
	// weaker than the strongest own no pools.
	maxProcessor = 1 << 30
)

// Check returns an error if l can't be the entry of an instance or endpoint. It does not
// check the address.
func (l ListedInstance) Check() error {
	switch {
	case l.Name == "" || l.Role == "":
		return fmt.Errorf("entry with the name %q and the role %q", l.Name, l.Role)
	case l.Incarnation > MaxIncarnation:
		return fmt.Errorf("invalid incarnation %d", l.Incarnation)
	case l.Processor > maxProcessor:
		return fmt.Errorf("invalid processor time %d", l.Processor)
	}
	return nil
}

// InstanceList is the whole instance list.
type InstanceList struct {
	Instances []ListedInstance `json:"instances"`
}
