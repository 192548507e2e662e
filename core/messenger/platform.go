package messenger

// The JSON messages of the platform's table service and instance list.

// Row is one row of the table; Version 0 means that there is none.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Commit changes rows in one transaction.
type Commit struct {
	// If lists the rows whose version must be as given; 0 means absent.
	If []Row `json:"if"`
	// Put lists the rows to write; Version is ignored.
	Put []Row `json:"put"`
}

// Committed answers a Commit; Conflicts lists the rows that differed, and then
// nothing was written.
type Committed struct {
	Conflicts []Row `json:"conflicts,omitempty"`
}

// Rows answers a scan.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Listed is one entry of the platform's instance list, which lags.
type Listed struct {
	Name string `json:"name"`
	// Role is "router" or the service that the endpoint serves.
	Role        string `json:"role"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	DataCentre  string `json:"data-centre"`
	Site        string `json:"site"`
	Leaving     bool   `json:"leaving"`
}

// Listing is the whole instance list.
type Listing struct {
	Instances []Listed `json:"instances"`
}
