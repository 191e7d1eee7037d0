package process

// bootstrapDecision decides whether a machine with an empty disk and bootstrap set may start
// as an initial voter. The setting may be left over from the first start of the system, and
// the disk may have been lost since: the machine has then voted under its initial identity
// and must not use it again.
//
// A vote or an acknowledgement counts only within a term, and a member persists a term before
// it takes part in it. If every other seed reports, after this machine has started with an
// empty disk, that it has taken part in no term, then no decision has relied on a vote of
// this machine, and it may be an initial voter. A single seed that has taken part in a term
// rules out a first start. A seed's answer stays valid whatever the seed does afterwards,
// because it concerns this machine's past. Machines that start at the same time can therefore
// all proceed without waiting for each other's decisions.
type bootstrapDecision struct {
	seeds    []string        // addresses of the other seeds
	answered map[string]bool // seeds that have taken part in no term, by address
}

// bootstrapVerdict is the outcome of a bootstrapDecision.
type bootstrapVerdict uint8

const (
	undecided    bootstrapVerdict = iota // some seeds have not answered yet
	initialVoter                         // first start of the system
	newMember                            // the system has run before; the machine joins it
)

func newBootstrapDecision(seeds []string, self string) *bootstrapDecision {
	d := &bootstrapDecision{answered: map[string]bool{}}
	for _, s := range seeds {
		if s != self {
			d.seeds = append(d.seeds, s)
		}
	}
	return d
}

// observe records the answers of seeds, by address: whether each may have taken part in a
// term. As long as one seed has not answered, a first start can't be distinguished from the
// loss of the other disks while that seed is partitioned, so there is no time-out. At a first
// start all seeds are up.
func (d *bootstrapDecision) observe(participated map[string]bool) bootstrapVerdict {
	for seed, has := range participated {
		if has {
			return newMember
		}
		d.answered[seed] = true
	}
	if len(d.answered) == len(d.seeds) {
		return initialVoter
	}
	return undecided
}

// unanswered returns the seeds that have not answered yet.
func (d *bootstrapDecision) unanswered() []string {
	var out []string
	for _, s := range d.seeds {
		if !d.answered[s] {
			out = append(out, s)
		}
	}
	return out
}
