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

// writeNewerFormat has a member's store say that a newer program wrote it, in a format that
// no present one can read.
func writeNewerFormat(t *testing.T, dir string) {
	t.Helper()
	text := fmt.Sprintf("elmspan member, format 99, reader 99, sum %016x\n", xxhash.Sum64String(fmt.Sprint(99, 99)))
	if err := os.WriteFile(filepath.Join(dir, "FORMAT.99"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Truncate(filepath.Join(dir, "SEAL"), 1); err != nil { // in a form that isn't known here
		t.Fatal(err)
	}
}

// contents are the files of a folder.
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

// A machine that is rolled back over a store of a newer format starts no new member: its
// process serves, stays out of the control plane, says so, and leaves the files as they are.
// The newer program then goes on with all that was committed. (Before, it removed the store.)
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
	was := contents(t, dir)
	p, stop = m.start()
	if p.member.core() != nil || p.client.LocalCore() != nil {
		t.Error("it takes part in the control plane")
	}
	text := m.callUntilOK("GET", "http://"+m.control+"/v1/Status", nil, nil)
	if !bytes.Contains(text, []byte("newer program")) {
		t.Errorf("its status doesn't say so: %s", text)
	}
	stop()
	if now := contents(t, dir); !maps.Equal(now, was) {
		t.Error("files of the newer program were changed")
	}
	// The newer program again.
	err = errors.Join(
		os.WriteFile(filepath.Join(dir, "SEAL"), seal, 0o600),
		os.Remove(filepath.Join(dir, "FORMAT.99")))
	if err != nil {
		t.Fatal(err)
	}
	p, stop = m.start()
	defer stop()
	if got := m.getConfig(); !bytes.Equal(got, conf) {
		t.Error("what was committed is gone")
	}
	if now := p.member.core().Status().ID; now != id {
		t.Errorf("member %s is %s", id, now)
	}
}

// corruptibleStore is a store that is found corrupt once its channel is closed.
type corruptibleStore struct {
	*storage.Store
	lost chan struct{}
}

func (s *corruptibleStore) Save(r raft.Ready) error {
	select {
	case <-s.lost:
		return fmt.Errorf("opening it again: %w", storage.ErrCorrupt)
	default:
		return s.Store.Save(r)
	}
}

// A member whose store is found corrupt while the process runs is followed by a new one,
// without a restart of the process: under another id, without a vote at first, with all that
// was committed fetched from the others. The next start of the process finds that one.
// (Before, the member answered nobody until that start.)
func TestStoreLostWhileRunning(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	disk := &corruptibleStore{lost: make(chan struct{})}
	for i := range c.hosts {
		var wrapStore func(*storage.Store) controlplane.Store
		if i == 1 {
			wrapStore = func(s *storage.Store) controlplane.Store {
				if disk.Store != nil {
					return s // of the new member: it loses nothing
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
	conf := c.replaceConfig(7, 8) // it can't save this
	c.waitUntil(func() bool { return c.hosts[1].core() != old && c.isVoter(1, 8) })
	now := c.hosts[1].core().Status()
	if s := old.Status(); s.Halted == "" || s.ID == now.ID {
		t.Errorf("the member that has lost something: %+v", s)
	}
	r := c.hosts[1].client.Get(t.Context(), &api.GetRequest{})
	if r.Status != http.StatusOK || !bytes.Equal(r.Config, conf) {
		t.Errorf("its process reads %+v", r)
	}
	c.stops[1]()
	c.start(1, nil)
	if s := c.hosts[1].core().Status(); s.ID != now.ID {
		t.Errorf("at the next start member %s is %s", now.ID, s.ID)
	}
}
