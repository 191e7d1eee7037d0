package process

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

// writeNewerFormat marks a member's store as written by a newer program in a format that the
// current one can't read.
func writeNewerFormat(t *testing.T, dir string) {
	t.Helper()
	text := fmt.Sprintf("elmspan member, format 99, reader 99, sum %016x\n", xxhash.Sum64String(fmt.Sprint(99, 99)))
	if err := os.WriteFile(filepath.Join(dir, "FORMAT.99"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Truncate(filepath.Join(dir, "SEAL"), 1); err != nil { // a layout unknown to the current program
		t.Fatal(err)
	}
}

// contents returns the contents of the files in a directory by name.
func contents(t *testing.T, dir string) map[string]string {
	t.Helper()
	out := map[string]string{}
	all, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range all {
		data, err := os.ReadFile(filepath.Join(dir, f.Name()))
		if err != nil {
			t.Fatal(err)
		}
		out[f.Name()] = string(data)
	}
	return out
}

// A machine that is rolled back while its store has a newer format starts no new member. Its
// process serves, stays out of the control plane, reports this in its status and leaves the store
// unchanged, so that the newer program can continue with everything committed. Guards against
// removing the store.
func TestRolledBackProcessKeepsTheStore(t *testing.T) {
	t.Parallel()
	m := newMachine(t)
	m.removeEdgeRole()
	p, stop := m.start()
	conf, err := cbor.Marshal(&api.Config{Revision: 7})
	if err != nil {
		t.Fatal(err)
	}
	m.replaceConfig("0", conf)
	id := p.member.core().Status().ID
	stop()
	dir := filepath.Join(m.dir, "log")
	seal, err := os.ReadFile(filepath.Join(dir, "SEAL"))
	if err != nil {
		t.Fatal(err)
	}
	writeNewerFormat(t, dir)
	before := contents(t, dir)
	p, stop = m.start()
	if p.member.core() != nil || p.client.LocalCore() != nil {
		t.Error("the process has an active member although its store has a newer format")
	}
	text := m.callUntilOK("GET", "http://"+m.control+"/v1/Status", nil, nil)
	if !bytes.Contains(text, []byte("newer program")) {
		t.Errorf("the status does not report the newer format: %s", text)
	}
	stop()
	if after := contents(t, dir); !maps.Equal(after, before) {
		t.Error("the files of the newer format were changed")
	}
	// Restores the format that this program reads, which stands for starting the newer program.
	err = errors.Join(
		os.WriteFile(filepath.Join(dir, "SEAL"), seal, 0o600),
		os.Remove(filepath.Join(dir, "FORMAT.99")))
	if err != nil {
		t.Fatal(err)
	}
	p, stop = m.start()
	defer stop()
	if got := m.getConfig(); !bytes.Equal(got, conf) {
		t.Error("the committed configuration is lost")
	}
	if after := p.member.core().Status().ID; after != id {
		t.Errorf("member id was %s and is %s", id, after)
	}
}

// corruptibleStore is a store whose Save reports corruption once the channel is closed.
type corruptibleStore struct {
	*storage.Store
	lost chan struct{}
}

func (s *corruptibleStore) Save(r raft.Ready) error {
	select {
	case <-s.lost:
		return fmt.Errorf("opening the store again: %w", storage.ErrCorrupt)
	default:
		return s.Store.Save(r)
	}
}

// A member whose store is found corrupt while the process runs is replaced by a new one without
// a restart of the process. The new member has another id, is not a voter at first and fetches
// everything committed from the others. The next start of the process finds this new member.
// Guards against a machine that has no active member until its process is restarted.
func TestStoreLostWhileRunning(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	disk := &corruptibleStore{lost: make(chan struct{})}
	for i := range c.hosts {
		var wrapStore func(*storage.Store) controlplane.Store
		if i == 1 {
			wrapStore = func(s *storage.Store) controlplane.Store {
				if disk.Store != nil {
					return s // the new member's store stays intact
				}
				disk.Store = s
				return disk
			}
		}
		c.start(i, wrapStore)
	}
	c.replaceConfig(0, 7)
	c.waitUntil(func() bool { return c.hosts[1].core() != nil })
	old := c.hosts[1].core()
	close(disk.lost)
	conf := c.replaceConfig(7, 8) // the corrupt store can't save this entry
	c.waitUntil(func() bool { return c.hosts[1].core() != old && c.isVoter(1, 8) })
	now := c.hosts[1].core().Status()
	if s := old.Status(); s.Halted == "" || s.ID == now.ID {
		t.Errorf("status of the member with the corrupt store: %+v", s)
	}
	r := c.hosts[1].client.Get(t.Context(), &api.GetRequest{})
	if r.Status != http.StatusOK || !bytes.Equal(r.Config, conf) {
		t.Errorf("the process with the new member reads %+v", r)
	}
	c.stops[1]()
	c.start(1, nil)
	if s := c.hosts[1].core().Status(); s.ID != now.ID {
		t.Errorf("member id was %s and is %s after a restart", now.ID, s.ID)
	}
}
