package api

import "errors"

// ErrMalformedRow is returned by [ParseConfigRow] and [ParseServerRow] for a row whose
// key or value is invalid. The receiver of the row should request the complete table.
var ErrMalformedRow = errors.New("api: malformed row")

// FieldError is a validation error of one field of a configuration. [Config.Validate] joins
// several; [errors.As] finds the first one.
type FieldError struct {
	// Field is the path of the field, in the names of the encoded configuration, with the
	// position in the table and the name of the entry if it has one, for example
	// "route_table.3 (checkout).timeout_ms".
	Field string
	// Problem describes what is wrong with the value.
	Problem string
}

// Error returns "field: problem" on one line.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }
