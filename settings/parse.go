package settings

import (
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// Read reads and validates the node file at path.
func Read(path string) (*Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	n, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return n, nil
}

// Parse decodes and validates a node file. The error lists all invalid values, one per line.
func Parse(data []byte) (*Node, error) {
	n := &Node{}
	if _, err := toml.Decode(string(data), n); err != nil {
		return nil, formatDecodeError(err)
	}
	return n, n.validate()
}

// ReadTuning reads and validates the tuning file at path. If path is empty it returns the defaults.
func ReadTuning(path string) (*Tuning, error) {
	if path == "" {
		return DefaultTuning(), nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("tuning: %w", err)
	}
	t, err := ParseTuning(data)
	if err != nil {
		return nil, fmt.Errorf("tuning %s: %w", path, err)
	}
	return t, nil
}

// ParseTuning decodes and validates a tuning file. The error lists all invalid values, one per
// line. Settings that are not in the file have their defaults.
func ParseTuning(data []byte) (*Tuning, error) {
	t := DefaultTuning()
	meta, err := toml.Decode(string(data), t)
	if err != nil {
		return nil, formatDecodeError(err)
	}
	var errs []error
	for _, key := range meta.Undecoded() {
		errs = append(errs, fmt.Errorf("%s: unknown setting", key))
	}
	return t, errors.Join(append(errs, t.validate()...)...)
}

// formatDecodeError formats a syntax error as one line, with the line number and the last key before
// the error. Other errors, such as a wrong type, are returned unchanged.
func formatDecodeError(err error) error {
	var pe toml.ParseError
	if errors.As(err, &pe) {
		return fmt.Errorf("line %d: %s: %s", pe.Position.Line, pe.LastKey, pe.Message)
	}
	return err
}
