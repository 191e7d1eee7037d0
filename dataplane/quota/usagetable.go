package quota

import "math/bits"

// The usage counters that peers have reported are the largest table of a limiter: at the design
// size, 68 peers with 14,000 tenants each. With a map for each peer they took 30 MB; these tables
// take less than 6 MB. A counter is kept as long as its tenant exists: if the previous total of a
// tenant is unknown, its units cannot be drawn from the bucket.

// rowsPerBlock is how many rows of a usageTable are allocated together, when the first of them is
// reported.
const rowsPerBlock = 64

// usageTable holds the usage counters that one peer has reported, by tenant row. Counters are units
// since the peer's start. Only differences are used, so only the low 32 bits are stored.
type usageTable struct{ blocks []*usageBlock }

// usageBlock holds the counters of rowsPerBlock consecutive rows.
type usageBlock struct {
	known uint64 // bit i is set if row i of the block has been reported
	units [rowsPerBlock]uint32
}

// update records the new total of a monotonic counter. It returns the increase, and whether an
// earlier total was known: if not, the increase is the whole total. A total lower than the recorded
// one is ignored.
func (t *usageTable) update(row int32, units uint64) (increase uint64, known bool) {
	i, bit := int(row)/rowsPerBlock, uint64(1)<<(row%rowsPerBlock)
	for len(t.blocks) <= i {
		t.blocks = append(t.blocks, nil)
	}
	if t.blocks[i] == nil {
		t.blocks[i] = &usageBlock{}
	}
	block := t.blocks[i]
	recorded := &block.units[row%rowsPerBlock]
	if block.known&bit == 0 {
		block.known |= bit
		*recorded = uint32(units)
		return units, false
	}
	difference := int32(uint32(units) - *recorded) // signed, so that it is correct when the low 32 bits wrap around
	if difference <= 0 {
		return 0, true
	}
	*recorded = uint32(units)
	return uint64(difference), true
}

// forget marks a row as not reported, so that it can be reused for another tenant.
func (t *usageTable) forget(row int32) {
	if i := int(row) / rowsPerBlock; i < len(t.blocks) && t.blocks[i] != nil {
		t.blocks[i].known &^= 1 << (row % rowsPerBlock)
	}
}

func (t *usageTable) clear() { t.blocks = nil }

// len returns the number of rows that have been reported.
func (t *usageTable) len() (n int) {
	for _, block := range t.blocks {
		if block != nil {
			n += bits.OnesCount64(block.known)
		}
	}
	return n
}

// rowAllocator assigns table rows to tenants. Free rows are reused first.
type rowAllocator struct {
	free []int32
	next int32 // the lowest row that was never assigned
}

func (a *rowAllocator) allocate() int32 {
	if n := len(a.free); n > 0 {
		row := a.free[n-1]
		a.free = a.free[:n-1]
		return row
	}
	a.next++
	return a.next - 1
}

func (a *rowAllocator) release(row int32) { a.free = append(a.free, row) }

// releaseRow frees the row of a removed tenant in the tables of all peers and reporters.
func (e *Enforcer) releaseRow(row int32) {
	for _, p := range e.peers {
		p.usage.forget(row)
	}
	for _, g := range e.groups {
		for _, r := range g.reporters {
			r.usage.forget(row)
		}
	}
	e.rows.release(row)
}
