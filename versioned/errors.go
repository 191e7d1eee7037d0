package versioned

import "errors"

var (
	// ErrMalformed is returned for data that is not a valid encoded delta.
	ErrMalformed = errors.New("versioned: malformed delta")
	// ErrChecksum is returned if the rows that result from applying a delta do not match the
	// checksum in its header. The receiver should request the complete table.
	ErrChecksum = errors.New("versioned: table checksum differs from the checksum in the delta")
	// ErrVersion is returned for a delta whose base is not the receiver's version, or whose
	// target is not newer than it.
	ErrVersion = errors.New("versioned: delta does not apply to the receiver's version")
)
