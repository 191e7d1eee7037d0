package controlplane

import (
	"flag"
	"testing"
	"time"

	"example.org/elmspan/raft"
)

var linkSeeds = flag.Uint64("links.seeds", 30, "runs of TestHundredsOfChangesWithRestarts")

const mbit = 125_000 // bytes a second

// A member that comes back takes a state of 4 MB over a link of 1 Mbit/s while a change
// comes each second; nobody misses the leader's heartbeats for an election meanwhile,
// and the transfer is one, whatever snapshots the log would have asked for. (Fails with
// the whole in one message, as it was: it never arrives.)
func TestLargeStateOverASlowLink(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		lossy float64
		all   bool // all links are slow
		bytes int  // of a change
		most  time.Duration
	}{
		{"one slow link", 0, false, 2 << 10, 60 * time.Second},
		{"all links slow", 0, true, 2 << 10, 60 * time.Second},
		{"large changes", 0, false, 41 << 10, 100 * time.Second},
		{"losses", 0.05, false, 2 << 10, 150 * time.Second},
	} {
		for seed := range uint64(5) {
			w := newLinked(t, seed, 4<<20)
			w.start(1)
			w.start(2)
			w.until("a leader", 3*time.Second, func() bool { return w.leader() != nil })
			for range 200 { // while the third is away
				w.propose(2 << 10)
				w.run(10 * time.Millisecond)
			}
			w.link = func(from, to raft.ID) (float64, time.Duration) {
				if c.all || from == 3 || to == 3 {
					return mbit, 20 * time.Millisecond
				}
				return 100 * mbit, time.Millisecond
			}
			w.lossy = c.lossy
			w.run(2 * time.Second)
			term := w.leader().Term()
			w.start(3)
			w.until("it hears of the leader", time.Second, func() bool { return w.nodes[3].Leader() != 0 })
			asked, next := w.asked, w.now // a start may ask for an election before
			w.gap = 0
			took := w.until("the member that came back has it all", c.most, func() bool {
				if w.now >= next {
					next += time.Second
					w.propose(c.bytes)
				}
				l := w.leader()
				return l != nil && w.snapshot > 0 && w.nodes[3].AppliedIndex()+1 >= l.CommitIndex()
			})
			t.Logf("%s, seed %d: 4 MB in %v, longest gap %v, %d elections asked for", c.name, seed, took, w.gap, w.asked-asked)
			if l := w.leader(); l == nil || l.Term() != term {
				t.Errorf("%s, seed %d: an election was caused", c.name, seed)
			}
			if w.snapshot != 1 || w.asked != asked && c.lossy == 0 {
				t.Errorf("%s, seed %d: %d snapshots were installed, 1 is enough; %d elections were asked for", c.name, seed, w.snapshot, w.asked-asked)
			}
			if c.lossy == 0 && w.gap > electionTicks*tickInterval*4/5 {
				t.Errorf("%s, seed %d: nothing was heard of the leader for %v", c.name, seed, w.gap)
			}
		}
	}
}

// Hundreds of changes, eight under way, of some hundred bytes to 41 KB each, while members
// end and start with their disks, or are cut off, one at a time, throughout: two seconds
// after the last trouble every member has all that was agreed, over any seed.
func TestHundredsOfChangesWithRestarts(t *testing.T) {
	t.Parallel()
	installed := 0
	for seed := range *linkSeeds {
		w := newLinked(t, seed, 300<<10)
		w.link = func(_, _ raft.ID) (float64, time.Duration) { return 5 * mbit, 5 * time.Millisecond }
		for id := range raft.ID(coreSize) {
			w.start(id + 1)
		}
		proposed, away := 0, raft.ID(0)
		var trouble func()
		trouble = func() {
			switch {
			case proposed >= 400:
				return
			case away != 0: // one at a time
				w.start(away)
				delete(w.cut, away)
				away = 0
			case w.together():
				if away = raft.ID(1 + w.rng.IntN(coreSize)); w.rng.IntN(3) == 0 {
					w.cut[away] = true
				} else {
					w.end(away)
				}
			}
			w.after(time.Duration(w.rng.Int64N(int64(3*time.Second))), trouble)
		}
		w.after(time.Second, trouble)
		for w.now < 5*time.Minute && proposed < 400 {
			if l := w.leader(); l != nil && !w.cut[l.Leader()] && l.LastIndex()-l.CommitIndex() < 8 {
				proposed++
				w.propose(200 + w.rng.IntN(2)*w.rng.IntN(41<<10))
			}
			w.run(time.Duration(w.rng.Int64N(int64(100 * time.Millisecond))))
		}
		if proposed < 400 {
			t.Fatalf("seed %d: %d changes in %v", seed, proposed, w.now)
		}
		clear(w.cut)
		for id := range raft.ID(coreSize) {
			w.start(id + 1)
		}
		w.run(40 * tickInterval)
		if !w.together() {
			for id, n := range w.nodes {
				t.Logf("%d: %v of term %d, leader %d, applied %d of %d, snapshot %d", id, n.Role(), n.Term(), n.Leader(), n.AppliedIndex(), n.LastIndex(), n.SnapshotIndex())
			}
			t.Fatalf("seed %d: not together 2 s after the last trouble", seed)
		}
		installed += w.snapshot
	}
	if installed < int(*linkSeeds) {
		t.Errorf("%d snapshots were installed: too few to say anything", installed)
	}
}

// Entries of 400 KB, as with 16,000 routes, over links of 1 Mbit/s to all: each takes more
// than 3 s, and no heartbeat waits for more than a part of it. (Fails where an entry goes
// in one call: 20 changes, 20 elections.)
func TestLargeEntriesOverSlowLinks(t *testing.T) {
	t.Parallel()
	w := newLinked(t, 1, 1<<20)
	w.link = func(_, _ raft.ID) (float64, time.Duration) { return mbit, 10 * time.Millisecond }
	for id := range raft.ID(coreSize) {
		w.start(id + 1)
	}
	w.until("a leader", 3*time.Second, func() bool { return w.leader() != nil && w.together() })
	l := w.leader()
	asked, term, before := w.asked, l.Term(), l.CommitIndex()
	w.gap = 0
	for range 20 {
		w.propose(400 << 10)
		w.run(8 * time.Second)
	}
	if l != w.leader() || l.Term() != term || w.asked != asked || w.gap > electionTicks*tickInterval*4/5 || l.CommitIndex() != before+20 {
		t.Errorf("term %d after %d, %d elections asked for, nothing heard for %v, %d agreed", l.Term(), term, w.asked-asked, w.gap, l.CommitIndex()-before)
	}
	t.Logf("longest gap %v", w.gap)
}

// A member that was cut off for long comes back without an election: the others' leader
// stays, and it has what it missed by the tail of the log or, after more, by a snapshot.
func TestBackFromACut(t *testing.T) {
	t.Parallel()
	for missed, want := range map[int]int{20: 0, 200: 1} {
		w := newLinked(t, uint64(missed), 1<<20)
		for id := range raft.ID(coreSize) {
			w.start(id + 1)
		}
		w.until("a leader", 3*time.Second, func() bool { return w.leader() != nil && w.together() })
		for range 60 { // so that a snapshot falls into what is missed
			w.propose(100)
			w.run(10 * time.Millisecond)
		}
		l := w.leader()
		away, term := 1+l.Leader()%coreSize, l.Term()
		w.cut[away] = true
		for range missed {
			w.propose(100)
			w.run(10 * time.Millisecond)
		}
		w.run(20 * time.Second)
		if w.nodes[away].Term() != term || w.nodes[away].Role() == raft.Leader {
			t.Errorf("cut off it went to term %d from %d", w.nodes[away].Term(), term)
		}
		if w.encoded == 0 {
			t.Error("no snapshot was made meanwhile")
		}
		delete(w.cut, away)
		took := w.until("it has what it missed", 2*time.Second, w.together)
		if got := w.leader(); got != l || l.Term() != term || w.snapshot != want {
			t.Errorf("%d missed: term %d after %d, %d snapshots, want %d", missed, l.Term(), term, w.snapshot, want)
		}
		t.Logf("%d changes in %v", missed, took)
	}
}

// The snapshot of an idle core is made once, wherever its log ends. (Fails as it was: at
// each multiple of 64 every message and tick encoded the whole state.)
func TestIdleCoreEncodesNothing(t *testing.T) {
	t.Parallel()
	w := newLinked(t, 1, 1<<10)
	for id := range raft.ID(coreSize) {
		w.start(id + 1)
	}
	w.until("a leader", 3*time.Second, func() bool { return w.leader() != nil })
	for w.leader().CommitIndex()%64 != 0 || w.encoded < coreSize {
		w.propose(100)
		w.run(20 * time.Millisecond)
	}
	w.run(time.Second) // followers hear last of what is agreed
	before := w.encoded
	w.run(time.Minute)
	if w.leader().CommitIndex()%64 != 0 || w.encoded != before {
		t.Errorf("%d encodings in a minute of rest at %d", w.encoded-before, w.leader().CommitIndex())
	}
}
