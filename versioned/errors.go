package versioned

import "errors"

var (
	// ErrMalformed is returned for bytes that are no encoded delta.
	ErrMalformed = errors.New("versioned: malformed delta")
	// ErrChecksum is returned for a delta that does not lead to the table that its header
	// describes: the receiver asks for the complete table.
	ErrChecksum = errors.New("versioned: the checksum of the table differs from the delta's")
	// ErrVersion is returned for a delta that does not build on the receiver's version, or
	// that does not lead to a newer one.
	ErrVersion = errors.New("versioned: the delta does not follow the version")
)
