package api

import (
	"errors"
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// A configuration as a table of rows, so that a limiter can be told what changed:
// the keys of the rows begin with what they are.
const (
	routeRow    = 'r' // host, a space, prefix
	tenantRow   = 't' // name
	upstreamRow = 'u' // name
	limitsRow   = "l"
)

// ErrRow tells of a row that is none of a configuration's.
var ErrRow = errors.New("api: a row of the configuration can't be read")

// RouteKey is the key of a route's row.
func RouteKey(host, prefix string) string {
	return string(routeRow) + strings.ToLower(host) + " " + prefix
}

// ConfigRow is one row of a configuration: one of the fields is set. Of a row
// that went, Gone is and the others hold their names alone.
type ConfigRow struct {
	Removed  bool
	Route    *Route
	Tenant   *Tenant
	Upstream *Upstream
	Limits   *RequestLimits
}

// ParseConfigRow reads a row; a value of nil is one that went.
func ParseConfigRow(key string, value []byte) (ConfigRow, error) {
	row := ConfigRow{Removed: value == nil}
	if key == "" {
		return row, ErrRow
	}
	var into any
	switch name := key[1:]; key[0] {
	case routeRow:
		host, prefix, ok := strings.Cut(name, " ")
		if !ok {
			return row, ErrRow
		}
		row.Route = &Route{Host: host, Prefix: prefix}
		into = row.Route
	case tenantRow:
		row.Tenant = &Tenant{Name: name}
		into = row.Tenant
	case upstreamRow:
		row.Upstream = &Upstream{Name: name}
		into = row.Upstream
	case limitsRow[0]:
		row.Limits = &RequestLimits{}
		into = row.Limits
	default:
		return row, ErrRow
	}
	if value == nil {
		return row, nil
	}
	if err := strict.Unmarshal(value, into); err != nil {
		return row, fmt.Errorf("%w: %v", ErrRow, err)
	}
	return row, nil
}

// serverRow is a server in the table of servers. Its key is the member's id.
type serverRow struct {
	Upstream string  `cbor:"1,keyasint"`
	Addr     string  `cbor:"2,keyasint"`
	Zone     string  `cbor:"3,keyasint"`
	Capacity int     `cbor:"4,keyasint"`
	State    string  `cbor:"5,keyasint,omitempty"` // empty: in service
	WarmAtMs float64 `cbor:"6,keyasint,omitempty"` // on the clock of the table
}

// InService is the State of a server that gets requests.
const InService = "in_service"

// ServerRow is a server's row in the table of servers. warmAtMs is until when it
// is slow from its start, on the clock that the table's versions are told with.
func EncodeServerRow(s Server, warmAtMs float64) ([]byte, error) {
	r := serverRow{s.Upstream, s.Addr, s.Zone, s.Capacity, s.State, float64(int64(warmAtMs))}
	if r.State == InService {
		r.State = ""
	}
	out, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("api: %w", err)
	}
	return out, nil
}

// ParseServerRow reads a server's row, at a time on the table's clock.
func ParseServerRow(id string, value []byte, nowMs float64) (Server, error) {
	var r serverRow
	if err := strict.Unmarshal(value, &r); err != nil {
		return Server{}, fmt.Errorf("api: a row of the list of servers can't be read: %w", err)
	}
	s := Server{ID: id, Upstream: r.Upstream, Addr: r.Addr, Zone: r.Zone, Capacity: r.Capacity, State: r.State, WarmupMs: max(0, r.WarmAtMs-nowMs)}
	if s.State == "" {
		s.State = InService
	}
	return s, nil
}
