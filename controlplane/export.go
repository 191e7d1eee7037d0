package controlplane

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
)

// An export is the state in one file: a line with the format and its version, the CRC-32 (IEEE,
// big endian) of the rest, and the state in CBOR.
const (
	exportMagic      = "elmspan state 1\n"
	exportHeaderSize = len(exportMagic) + crc32.Size
)

// Export encodes a state as an export file.
func Export(s *State) ([]byte, error) {
	body, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("controlplane: encoding the state: %w", err)
	}
	file := make([]byte, 0, exportHeaderSize+len(body))
	file = append(file, exportMagic...)
	file = binary.BigEndian.AppendUint32(file, crc32.ChecksumIEEE(body))
	return append(file, body...), nil
}

// Import decodes an export file and validates it completely, including the newest configuration.
// Every error is an [ErrInvalidExport].
func Import(file []byte) (*State, error) {
	body, err := exportBody(file)
	if err != nil {
		return nil, err
	}
	s := &State{}
	if err := cbor.Unmarshal(body, s); err != nil {
		return nil, invalidExport(err)
	}
	if s.Revision == 0 {
		return s, nil
	}
	config, err := s.Config()
	if err != nil {
		return nil, invalidExport(err)
	}
	parsed, err := api.ParseConfig(config)
	if err != nil {
		return nil, invalidExport(err)
	}
	if parsed.Revision != s.Revision {
		return nil, fmt.Errorf("%w: the state has revision %d, but its configuration has revision %d",
			ErrInvalidExport, s.Revision, parsed.Revision)
	}
	if err := s.validateApplied(config); err != nil {
		return nil, invalidExport(err)
	}
	return s, nil
}

func invalidExport(cause error) error {
	return fmt.Errorf("%w: %w", ErrInvalidExport, cause)
}

// exportBody checks the header of an export file, and returns the rest.
func exportBody(file []byte) ([]byte, error) {
	if len(file) < exportHeaderSize || !bytes.HasPrefix(file, []byte(exportMagic)) {
		return nil, ErrInvalidExport
	}
	body := file[exportHeaderSize:]
	if binary.BigEndian.Uint32(file[len(exportMagic):]) != crc32.ChecksumIEEE(body) {
		return nil, fmt.Errorf("%w: checksum mismatch", ErrInvalidExport)
	}
	return body, nil
}

// validateApplied returns an error if the remembered revisions are inconsistent: a restored member
// uses them to recognise commands that are sent again.
func (s *State) validateApplied(newestConfig []byte) error {
	if len(s.Applied) > maxAppliedRevisions {
		return fmt.Errorf("%d revisions are remembered, the maximum is %d", len(s.Applied), maxAppliedRevisions)
	}
	last := s.oldestRemembered() - 1
	for _, a := range s.Applied {
		if a.Revision <= last {
			return fmt.Errorf("remembered revision %d is not higher than %d", a.Revision, last)
		}
		last = a.Revision
	}
	if len(s.Applied) == 0 {
		return nil
	}
	newest := s.Applied[len(s.Applied)-1]
	if newest.Revision != s.Revision || !newest.matches(fingerprintOf(newestConfig)) {
		return fmt.Errorf("the newest remembered revision does not match the configuration of revision %d", s.Revision)
	}
	return nil
}
