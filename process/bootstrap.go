package process

// bootstrapDecision decides what a machine with an empty disk is that the settings make a
// first voter. The setting may be left over from the first start and the disk lost since:
// then the machine has voted under its first identity, and must not use it again.
//
// A vote or an acknowledgement counts only within a term, and whoever takes part in a term
// has it on disk before. So where every other seed answers, after this machine has started
// with its empty disk, that it has taken part in no term, nothing was agreed on with a vote
// of this machine, and it may be a first voter. One seed that has taken part is enough to
// know that this is no first start. What a seed has answered stays true of this machine's
// past, whatever that seed does next: so machines that start at once all go on, and none
// waits for another one's decision.
type bootstrapDecision struct {
	seeds    []string        // addresses of the other ones
	answered map[string]bool // those that have taken part in no term, by address
}

// bootstrapVerdict is what a machine turns out to be.
type bootstrapVerdict uint8

const (
	undecided  bootstrapVerdict = iota // seeds have not answered yet
	firstVoter                         // the system's first start
	newMember                          // the system has run before: the machine joins it
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

// observe takes in the answers of seeds, by address: whether each may have taken part in a
// term. While one seed has not answered, a first start can't be distinguished from disks that were
// lost while that one is cut off, however long that lasts. At a first start all are up.
func (d *bootstrapDecision) observe(participated map[string]bool) bootstrapVerdict {
	for seed, has := range participated {
		if has {
			return newMember
		}
		d.answered[seed] = true
	}
	if len(d.answered) == len(d.seeds) {
		return firstVoter
	}
	return undecided
}

// unanswered are the seeds that have not answered yet.
func (d *bootstrapDecision) unanswered() []string {
	var out []string
	for _, s := range d.seeds {
		if !d.answered[s] {
			out = append(out, s)
		}
	}
	return out
}
