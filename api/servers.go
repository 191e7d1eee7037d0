package api

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Server is an entry of the platform's server list, with the platform's field names.
type Server struct {
	ID       string `cbor:"member_id"` // identifies one run of the server; never reused
	Upstream string `cbor:"upstream"`  // the service to which it belongs
	Addr     string `cbor:"address"`
	Zone     string `cbor:"zone"`
	Revision string `cbor:"revision"` // of the server's software
	Capacity int    `cbor:"capacity"` // concurrent requests that it can process
	State    string `cbor:"oper_state"`
	// WarmupMs is the remaining time of the server's slow start, in milliseconds. 0: it is
	// warm.
	WarmupMs float64 `cbor:"warmup_left_ms"`
}

// States of a server ([Server.State]). Any other state is treated as in service.
const (
	// InService is the state of a server that receives requests.
	InService = "in_service"
	// Draining is the state of a server that finishes its requests and receives no new ones.
	Draining = "draining"
)

// serverRow is the value of a row of the server table. Its key is the server's ID.
type serverRow struct {
	Upstream string  `cbor:"1,keyasint"`
	Addr     string  `cbor:"2,keyasint"`
	Zone     string  `cbor:"3,keyasint"`
	Capacity int     `cbor:"4,keyasint"`
	State    string  `cbor:"5,keyasint,omitempty"` // empty: in service
	WarmAtMs float64 `cbor:"6,keyasint,omitempty"` // on the table's clock
}

// EncodeServerRow returns the value of a server's row. warmAtMs is the end of its slow start,
// in milliseconds on the table's clock ([WatchResponse.ClockMs]); 0: it has ended.
// [Server.WarmupMs] and [Server.Revision] are not encoded.
func EncodeServerRow(s Server, warmAtMs float64) ([]byte, error) {
	row := serverRow{
		Upstream: s.Upstream,
		Addr:     s.Addr,
		Zone:     s.Zone,
		Capacity: s.Capacity,
		State:    s.State,
		WarmAtMs: float64(int64(warmAtMs)), // integral values have a shorter encoding
	}
	if row.State == InService {
		row.State = ""
	}
	out, err := cbor.Marshal(row)
	if err != nil {
		return nil, fmt.Errorf("api: encoding the row of server %s: %w", s.ID, err)
	}
	return out, nil
}

// ParseServerRow decodes a server's row. id is the row's key. nowMs is the current time in
// milliseconds on the table's clock. The error is [ErrMalformedRow].
func ParseServerRow(id string, value []byte, nowMs float64) (Server, error) {
	var row serverRow
	if err := strictDecMode.Unmarshal(value, &row); err != nil {
		return Server{}, fmt.Errorf("%w: server %s: %w", ErrMalformedRow, id, err)
	}
	s := Server{
		ID:       id,
		Upstream: row.Upstream,
		Addr:     row.Addr,
		Zone:     row.Zone,
		Capacity: row.Capacity,
		State:    row.State,
		WarmupMs: max(0, row.WarmAtMs-nowMs),
	}
	if s.State == "" {
		s.State = InService
	}
	return s, nil
}
