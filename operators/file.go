package operators

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"

	"example.org/elmspan/internal/atomicfile"
)

const (
	fileHeader = "# Who may call the operator's interface. Tokens are shown when they are made, and are not in here.\n"
	filePerm   = 0o600
)

// operatorsFile is the TOML document stored on disk.
type operatorsFile struct {
	Operators []Operator `toml:"operator"`
}

// Parse decodes and validates an operators file. The error lists all problems, one per line.
func Parse(data []byte) ([]Operator, error) {
	var f operatorsFile
	meta, err := toml.Decode(string(data), &f)
	if err != nil {
		return nil, err
	}
	var errs []error
	for _, key := range meta.Undecoded() {
		errs = append(errs, fmt.Errorf("%s: unknown setting", key))
	}
	errs = append(errs, validateAll(f.Operators)...)
	return f.Operators, errors.Join(errs...)
}

// validateAll returns the problems of all entries, including duplicate names and tokens.
func validateAll(list []Operator) []error {
	var errs []error
	names, tokens := map[string]bool{}, map[string]bool{}
	for i, o := range list {
		number := i + 1
		if err := o.validate(); err != nil {
			errs = append(errs, fmt.Errorf("operator %d: %w", number, err))
		}
		if names[o.Name] {
			errs = append(errs, fmt.Errorf("operator %d: duplicate name %s", number, o.Name))
		}
		if tokens[o.Token] {
			errs = append(errs, fmt.Errorf("operator %d: duplicate token_sha256", number))
		}
		names[o.Name], tokens[o.Token] = true, true
	}
	return errs
}

// Load reads and validates the operators file at path. If there is no file, the error wraps
// [io/fs.ErrNotExist].
func Load(path string) ([]Operator, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operators: %w", err)
	}
	list, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("operators: %s: %w", path, err)
	}
	return list, nil
}

// Save atomically replaces the operators file at path. After it returns without an error the new
// file survives a power failure. A list that [Parse] would reject is not written.
func Save(path string, list []Operator) error {
	var text bytes.Buffer
	text.WriteString(fileHeader)
	if err := toml.NewEncoder(&text).Encode(operatorsFile{list}); err != nil {
		return fmt.Errorf("operators: %w", err)
	}
	if _, err := Parse(text.Bytes()); err != nil {
		return fmt.Errorf("operators: %w", err)
	}
	if err := atomicfile.WriteFile(path, text.Bytes(), filePerm); err != nil {
		return fmt.Errorf("operators: %w", err)
	}
	return nil
}
