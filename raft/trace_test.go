package raft

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	// traceDigest is the digest of every Ready and every state of the members in
	// [TestSeededRunsAreReproducible]. A commit that changes no behavior leaves it unchanged. A
	// commit that does change behavior updates it and gives the reason in its message.
	traceDigest uint64 = 0x3cc1d48ddc629674

	traceRuns    = 150
	traceSteps   = 500
	traceMembers = 5
	traceVoters  = 3
	// traceMinMessages is the minimum number of messages of each kind for a meaningful digest.
	traceMinMessages = 20
)

// The same seeds and calls give the same results: the same messages in the same order, the same
// entries to store and to apply, and the same use of the random source.
func TestSeededRunsAreReproducible(t *testing.T) {
	t.Parallel()
	digest := xxhash.New()
	sent := map[MessageKind]int{}
	for seed := range uint64(traceRuns) {
		newTraceRun(t, seed, digest, sent).run()
	}
	for kind := PreVoteRequest; kind <= SnapshotChunkReply; kind++ {
		if sent[kind] < traceMinMessages {
			t.Errorf("%d messages of kind %v were sent: too few for a meaningful result", sent[kind], kind)
		}
	}
	if got := digest.Sum64(); got != traceDigest {
		t.Errorf("the digest of all runs is %#x, want %#x", got, traceDigest)
	}
}

// traceRun simulates five members, two of them learners, with lost, delayed and duplicated messages,
// crashes, snapshots and membership changes.
type traceRun struct {
	t        *testing.T
	seed     uint64
	rng      *rand.Rand
	digest   *xxhash.Digest      // of every Ready and every state
	sent     map[MessageKind]int // number of messages by kind
	disks    map[ID]*PersistentState
	nodes    map[ID]*Node
	network  []Message
	isolated ID // the member whose messages are lost in both directions; 0: none
}

func newTraceRun(t *testing.T, seed uint64, digest *xxhash.Digest, sent map[MessageKind]int) *traceRun {
	t.Helper()
	r := &traceRun{
		t:      t,
		seed:   seed,
		rng:    rand.New(rand.NewPCG(seed, 77)),
		digest: digest,
		sent:   sent,
		disks:  map[ID]*PersistentState{},
		nodes:  map[ID]*Node{},
	}
	var members []Member
	for id := ID(1); id <= traceMembers; id++ {
		members = append(members, Member{ID: id, Voter: id <= traceVoters, SupportsJoint: true})
	}
	for _, m := range members {
		r.disks[m.ID] = &PersistentState{Snapshot: Snapshot{Members: members}}
		r.start(m.ID)
	}
	return r
}

// start starts a member from its disk, or restarts it if it is up.
func (r *traceRun) start(id ID) {
	disk := *r.disks[id]
	disk.Entries = slices.Clone(disk.Entries)
	r.nodes[id] = New(Config{
		ID:              id,
		ElectionTicks:   10,
		HeartbeatTicks:  2,
		Seed:            r.seed,
		ChunkBytes:      16 << (r.seed % 3 * 2),
		TrailingEntries: 3,
		SnapshotEntries: 8,
	}, disk)
}

// run runs all steps.
func (r *traceRun) run() {
	for step := range traceSteps {
		for id := ID(1); id <= traceMembers; id++ {
			n := r.nodes[id]
			if r.rng.IntN(8) > 0 {
				n.Tick()
			}
			if n.Role() == Leader {
				r.call(n, step)
			}
			r.runHost(id)
		}
		r.injectFault()
		r.deliver()
	}
}

// injectFault injects a random fault.
func (r *traceRun) injectFault() {
	anyMember := func() ID { return ID(1 + r.rng.IntN(traceMembers)) }
	switch r.rng.IntN(40) {
	case 0:
		r.start(anyMember())
	case 1:
		r.isolated = anyMember()
	case 2:
		r.isolated = 0
	}
}

// deliver delivers the messages in flight, except those that are lost or delayed.
func (r *traceRun) deliver() {
	arriving := r.network
	r.network = nil
	for _, m := range arriving {
		percent := r.rng.IntN(100)
		switch {
		case m.From == r.isolated || m.To == r.isolated || percent < 4:
			continue
		case percent < 12: // delayed
			r.network = append(r.network, m)
			continue
		case percent < 16: // duplicated
			r.network = append(r.network, m)
		}
		r.nodes[m.To].Step(m)
		r.runHost(m.To)
	}
	r.network = r.network[max(0, len(r.network)-200):]
}

// runHost processes all pending work of a member and adds it to the digest.
func (r *traceRun) runHost(id ID) {
	n := r.nodes[id]
	for ready := n.Ready(); !ready.Empty(); ready = n.Ready() {
		data, err := cbor.Marshal([]any{
			ready.HardState, ready.Snapshot, ready.Entries, ready.Messages, ready.CommittedEntries,
		})
		if err != nil {
			r.t.Fatal(err)
		}
		r.addToDigest(data)
		r.store(id, ready)
		for _, m := range ready.Messages {
			r.sent[m.Kind]++
		}
		r.network = append(r.network, ready.Messages...)
		n.Advance(ready)
	}
	r.addToDigest(n.AppendKey(nil))
	if n.SnapshotDue() {
		r.compact(id)
	}
}

func (r *traceRun) addToDigest(data []byte) {
	if _, err := r.digest.Write(data); err != nil {
		r.t.Fatal(err)
	}
}

// store writes to a member's disk what must be stored before messages are sent.
func (r *traceRun) store(id ID, ready Ready) {
	disk := r.disks[id]
	if ready.HardState != nil {
		disk.HardState = *ready.HardState
	}
	if ready.Snapshot != nil {
		disk.Snapshot, disk.Entries = *ready.Snapshot, nil
	}
	if len(ready.Entries) > 0 {
		kept := ready.Entries[0].Index - disk.Snapshot.Index - 1
		disk.Entries = append(slices.Clone(disk.Entries[:kept]), ready.Entries...)
	}
}

// compact makes a snapshot of the applied state of a member.
func (r *traceRun) compact(id ID) {
	n, disk := r.nodes[id], r.disks[id]
	applied := n.AppliedIndex()
	data := bytes.Repeat([]byte{byte(applied)}, int(40+applied%40))
	if s := n.Compact(applied, data); s != nil {
		disk.Entries = slices.Clone(disk.Entries[s.Index-disk.Snapshot.Index:])
		disk.Snapshot = *s
	}
}

// call makes one of the calls that the host of a leader makes, at random, or none. Errors are ignored:
// the leader may reject a proposal.
func (r *traceRun) call(n *Node, step int) {
	members := slices.Clone(n.Members())
	anyMember := func() *Member { return &members[r.rng.IntN(len(members))] }
	switch r.rng.IntN(30) {
	case 0, 1, 2, 3:
		_, _, _ = n.Propose(bytes.Repeat([]byte{byte(step)}, 1+step%2*maxUrgentBytes))
	case 4:
		n.BroadcastHeartbeat()
	case 5:
		n.ReportSendFailure(ID(1 + r.rng.IntN(traceMembers)))
	case 6: // swap a voter for a learner, if the two members differ in that
		a, b := anyMember(), anyMember()
		a.Voter, b.Voter = b.Voter, a.Voter
		if n.CanCommitMembers(members) {
			_ = n.ProposeMembers(members)
		}
	case 7: // add or remove a voter
		m := anyMember()
		m.Voter = !m.Voter
		if n.CanCommitMembers(members) && len(voterIDs(members)) > 2 {
			_ = n.ProposeMembers(members)
		}
	case 8:
		if r.rng.IntN(10) == 0 {
			n.TransferLeadership()
		}
	case 9:
		if r.rng.IntN(10) == 0 {
			n.StepDown()
		}
	}
}
