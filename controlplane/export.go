package controlplane

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
)

// An export is the state in one file: a line that names the format and its version, the
// CRC-32 (IEEE, big endian) of what follows, the state in CBOR.
const (
	exportMagic      = "elmspan state 1\n"
	exportHeaderSize = len(exportMagic) + crc32.Size
)

// Export encodes a state as an export.
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

// Import decodes an export and checks all of it, down to the newest configuration. Whatever
// is wrong with it is an [ErrInvalidExport].
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
		return nil, fmt.Errorf("%w: revision %d holds a configuration of revision %d",
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

// exportBody checks the header of an export, and returns what follows it.
func exportBody(file []byte) ([]byte, error) {
	if len(file) < exportHeaderSize || !bytes.HasPrefix(file, []byte(exportMagic)) {
		return nil, ErrInvalidExport
	}
	body := file[exportHeaderSize:]
	if binary.BigEndian.Uint32(file[len(exportMagic):]) != crc32.ChecksumIEEE(body) {
		return nil, fmt.Errorf("%w: its checksum is wrong", ErrInvalidExport)
	}
	return body, nil
}

// validateApplied returns what is wrong with the revisions that are remembered, if anything:
// members that start with them decide by them about commands that are sent again.
func (s *State) validateApplied(newestConfig []byte) error {
	if len(s.Applied) > maxAppliedRevisions {
		return fmt.Errorf("%d revisions are remembered, at most %d can be", len(s.Applied), maxAppliedRevisions)
	}
	last := s.oldestRemembered() - 1
	for _, a := range s.Applied {
		if a.Revision <= last {
			return fmt.Errorf("revision %d is remembered after %d", a.Revision, last)
		}
		last = a.Revision
	}
	if len(s.Applied) == 0 {
		return nil
	}
	newest := s.Applied[len(s.Applied)-1]
	if newest.Revision != s.Revision || !newest.matches(fingerprintOf(newestConfig)) {
		return fmt.Errorf("revision %d is not the newest one that is remembered", s.Revision)
	}
	return nil
}
