package settings

import (
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// Read reads and validates the node file at a path.
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

// Parse reads and validates the text of a node file. The error holds all faults that are
// found, one a line.
func Parse(data []byte) (*Node, error) {
	n := &Node{}
	if _, err := toml.Decode(string(data), n); err != nil {
		return nil, syntaxError(err)
	}
	return n, n.validate()
}

// ReadTuning reads and validates the tuning file at a path. An empty path is the defaults.
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

// ParseTuning reads and validates the text of a tuning file. The error holds all faults that
// are found, one a line. What is left out has its default.
func ParseTuning(data []byte) (*Tuning, error) {
	t := DefaultTuning()
	meta, err := toml.Decode(string(data), t)
	if err != nil {
		return nil, syntaxError(err)
	}
	var errs []error
	for _, key := range meta.Undecoded() {
		errs = append(errs, fmt.Errorf("%s: there is no such setting", key))
	}
	return t, errors.Join(append(errs, t.validate()...)...)
}

// syntaxError puts an error of the decoder on one line, with the line in the file and the
// setting before the fault.
func syntaxError(err error) error {
	var pe toml.ParseError
	if errors.As(err, &pe) {
		return fmt.Errorf("line %d: %s: %s", pe.Position.Line, pe.LastKey, pe.Message)
	}
	return err
}
