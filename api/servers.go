package api

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Server is one entry of the platform's server list, with the platform's names.
type Server struct {
	ID       string `cbor:"member_id"` // names one life of the server; never used again
	Upstream string `cbor:"upstream"`  // the service that it belongs to
	Addr     string `cbor:"address"`
	Zone     string `cbor:"zone"`
	Revision string `cbor:"revision"` // of the software that it runs
	Capacity int    `cbor:"capacity"` // requests that it runs at the same time
	State    string `cbor:"oper_state"`
	// WarmupMs is how long the server is still slow after its start, in milliseconds.
	// 0: it is warm.
	WarmupMs float64 `cbor:"warmup_left_ms"`
}

// The states of a server ([Server.State]). Any other state counts as in service.
const (
	// InService is the state of a server that gets requests.
	InService = "in_service"
	// Draining is the state of a server that gets no new requests and finishes those that it has.
	Draining = "draining"
)

// serverRow is the value of a row of the server table. Its key is the server's ID.
type serverRow struct {
	Upstream string  `cbor:"1,keyasint"`
	Addr     string  `cbor:"2,keyasint"`
	Zone     string  `cbor:"3,keyasint"`
	Capacity int     `cbor:"4,keyasint"`
	State    string  `cbor:"5,keyasint,omitempty"` // empty: in service
	WarmAtMs float64 `cbor:"6,keyasint,omitempty"` // on the clock of the table
}

// EncodeServerRow returns the value of a server's row. warmAtMs is when its slow start
// ends, in milliseconds on the clock of the table ([WatchResponse.ClockMs]); 0: it has
// ended. [Server.WarmupMs] and [Server.Revision] are not in the row.
func EncodeServerRow(s Server, warmAtMs float64) ([]byte, error) {
	row := serverRow{
		Upstream: s.Upstream,
		Addr:     s.Addr,
		Zone:     s.Zone,
		Capacity: s.Capacity,
		State:    s.State,
		WarmAtMs: float64(int64(warmAtMs)), // whole milliseconds are shorter
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

// ParseServerRow decodes a server's row. id is the row's key, nowMs the present time on
// the clock of the table, in milliseconds. The error is [ErrMalformedRow].
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
