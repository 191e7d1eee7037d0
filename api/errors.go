package api

import "errors"

// ErrMalformedRow is returned by [ParseConfigRow] and [ParseServerRow] for a row that is
// not one of the table. The receiver should ask for the complete table.
var ErrMalformedRow = errors.New("api: malformed row")

// FieldError is one fault of a configuration. [Config.Validate] joins several; find the
// first one with [errors.As].
type FieldError struct {
	// Field is the path of the field in the configuration's own names, with the
	// position in a table and the name of the entry where it has one, for example
	// "route_table.3 (checkout).timeout_ms".
	Field string
	// Problem says what is wrong with the value.
	Problem string
}

// Error is "field: problem", on one line.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }
