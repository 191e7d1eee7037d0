package raft

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// traceDigest is the digest of all that the members of [TestSeededRunsAreReproducible] hand
// to their hosts, and of their states. A change that is to leave behaviour as it is leaves
// it as it is; one that is not to gives the new value in its commit, and why.
const traceDigest uint64 = 0x3cc1d48ddc629674

// Equal seeds and equal calls give equal results: the same messages in the same order, the
// same entries to store and to apply, and the same use of the random source.
func TestSeededRunsAreReproducible(t *testing.T) {
	t.Parallel()
	digest := xxhash.New()
	sent := map[MessageKind]int{}
	for seed := range uint64(150) {
		trace(t, digest, sent, seed)
	}
	for kind := PreVoteRequest; kind <= SnapshotChunkReply; kind++ {
		if sent[kind] < 20 {
			t.Errorf("%d messages of kind %d were sent: too few to say anything", sent[kind], kind)
		}
	}
	if got := digest.Sum64(); got != traceDigest {
		t.Errorf("the digest of all runs is %#x, want %#x", got, traceDigest)
	}
}

// trace plays five members, two of them learners, under lost, late and doubled messages,
// crashes, snapshots and changes of members, and adds all that they do to a digest.
func trace(t *testing.T, digest *xxhash.Digest, sent map[MessageKind]int, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 77))
	var members []Member
	for id := ID(1); id <= 5; id++ {
		members = append(members, Member{ID: id, Voter: id <= 3, SupportsJoint: true})
	}
	disks, nodes := map[ID]*PersistentState{}, map[ID]*Node{}
	start := func(id ID) {
		d := disks[id]
		nodes[id] = New(Config{ID: id, ElectionTicks: 10, HeartbeatTicks: 2, Seed: seed, ChunkBytes: 16 << (seed % 3 * 2), TrailingEntries: 3, SnapshotEntries: 8},
			PersistentState{HardState: d.HardState, Snapshot: d.Snapshot, Entries: slices.Clone(d.Entries)})
	}
	for _, m := range members {
		disks[m.ID] = &PersistentState{Snapshot: Snapshot{Members: members}}
		start(m.ID)
	}
	var network []Message
	host := func(id ID) {
		n, d := nodes[id], disks[id]
		for r := n.Ready(); !r.Empty(); r = n.Ready() {
			if data, err := cbor.Marshal([]any{r.HardState, r.Snapshot, r.Entries, r.Messages, r.CommittedEntries}); err != nil {
				t.Fatal(err)
			} else if _, err := digest.Write(data); err != nil {
				t.Fatal(err)
			}
			if r.HardState != nil {
				d.HardState = *r.HardState
			}
			if r.Snapshot != nil {
				d.Snapshot, d.Entries = *r.Snapshot, nil
			}
			if len(r.Entries) > 0 {
				keep := r.Entries[0].Index - d.Snapshot.Index - 1
				d.Entries = append(slices.Clone(d.Entries[:keep]), r.Entries...)
			}
			for _, m := range r.Messages {
				sent[m.Kind]++
			}
			network = append(network, r.Messages...)
			n.Advance(r)
		}
		if _, err := digest.Write(n.AppendKey(nil)); err != nil {
			t.Fatal(err)
		}
		if n.SnapshotDue() {
			at := n.AppliedIndex()
			if s := n.Compact(at, bytes.Repeat([]byte{byte(at)}, int(40+at%40))); s != nil {
				d.Entries = slices.Clone(d.Entries[s.Index-d.Snapshot.Index:])
				d.Snapshot = *s
			}
		}
	}
	cut := ID(0) // the member that nothing reaches
	for step := range 500 {
		for id := ID(1); id <= 5; id++ {
			n := nodes[id]
			if rng.IntN(8) > 0 {
				n.Tick()
			}
			if n.Role() == Leader {
				traceCall(rng, n, step)
			}
			host(id)
		}
		switch rng.IntN(40) {
		case 0:
			start(ID(1 + rng.IntN(5)))
		case 1:
			cut = ID(1 + rng.IntN(5))
		case 2:
			cut = 0
		}
		arriving := network
		network = nil
		for _, m := range arriving {
			switch x := rng.IntN(100); {
			case m.From == cut || m.To == cut || x < 4:
				continue
			case x < 12:
				network = append(network, m)
				continue
			case x < 16:
				network = append(network, m)
			}
			if n := nodes[m.To]; n != nil {
				n.Step(m)
				host(m.To)
			}
		}
		network = network[max(0, len(network)-200):]
	}
}

// traceCall makes one of the calls that the host of a leader makes.
func traceCall(rng *rand.Rand, n *Node, step int) {
	members := slices.Clone(n.Members())
	switch rng.IntN(30) {
	case 0, 1, 2, 3:
		_, _, _ = n.Propose(bytes.Repeat([]byte{byte(step)}, 1+step%2*maxUrgentBytes))
	case 4:
		n.BroadcastHeartbeat()
	case 5:
		n.ReportSendFailure(ID(1 + rng.IntN(5)))
	case 6: // one voter for another
		i, j := rng.IntN(len(members)), rng.IntN(len(members))
		members[i].Voter, members[j].Voter = members[j].Voter, members[i].Voter
		if n.CanCommitMembers(members) {
			_ = n.ProposeMembers(members)
		}
	case 7: // one voter more, or one less
		i := rng.IntN(len(members))
		members[i].Voter = !members[i].Voter
		if n.CanCommitMembers(members) && len(voterIDs(members)) > 2 {
			_ = n.ProposeMembers(members)
		}
	case 8:
		if rng.IntN(10) == 0 {
			n.TransferLeadership()
		}
	case 9:
		if rng.IntN(10) == 0 {
			n.StepDown()
		}
	}
}
