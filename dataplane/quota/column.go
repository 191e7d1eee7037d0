package quota

import "math/bits"

// What each of those who tell this limiter something has told of each tenant is the
// largest table that a limiter has: 68 columns of 14,000 rows at the size to design
// for. A map for each of them took 30 MB. A row is never given up while its tenant is
// there: a figure that is not known any more could not be paid for.

// block is so many rows of a column, taken when one of them is told of first.
const block = 64

// column is what one limiter has told, by tenants' rows: units since its start, of
// which the low 32 bits are kept, as only differences count.
type column struct{ blocks []*cells }

type cells struct {
	known uint64 // rows that it has told of
	units [block]uint32
}

// raise takes in a figure that only grows. It returns by how much it has grown, all of
// it where none was known; one that came late is passed over.
func (c *column) raise(row int32, units uint64) (more uint64, known bool) {
	i, bit := int(row)/block, uint64(1)<<(row%block)
	for len(c.blocks) <= i {
		c.blocks = append(c.blocks, nil)
	}
	if c.blocks[i] == nil {
		c.blocks[i] = &cells{}
	}
	b := c.blocks[i]
	u := &b.units[row%block]
	if b.known&bit == 0 {
		b.known |= bit
		*u = uint32(units)
		return units, false
	}
	grown := int32(uint32(units) - *u)
	if grown <= 0 {
		return 0, true
	}
	*u = uint32(units)
	return uint64(grown), true
}

// forget frees a row for another tenant.
func (c *column) forget(row int32) {
	if i := int(row) / block; i < len(c.blocks) && c.blocks[i] != nil {
		c.blocks[i].known &^= 1 << (row % block)
	}
}

func (c *column) clear() { c.blocks = nil }

// len is of how many tenants something is known.
func (c *column) len() (n int) {
	for _, b := range c.blocks {
		if b != nil {
			n += bits.OnesCount64(b.known)
		}
	}
	return n
}

// rows hands out the rows of tenants, those first that are free again.
type rows struct {
	free []int32
	next int32
}

func (r *rows) take() int32 {
	if n := len(r.free); n > 0 {
		row := r.free[n-1]
		r.free = r.free[:n-1]
		return row
	}
	r.next++
	return r.next - 1
}

// forget frees the row of a tenant that is gone, in all columns.
func (s *Enforcer) forget(row int32) {
	for _, p := range s.peers {
		p.spent.forget(row)
	}
	for _, g := range s.groups {
		for _, r := range g.reporters {
			r.latest.forget(row)
		}
	}
	s.rows.free = append(s.rows.free, row)
}
