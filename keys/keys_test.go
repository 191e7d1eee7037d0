package keys

import (
	"bytes"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

var loopback = net.ParseIP("127.0.0.1")

func authority(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "ca")
	if err := InitAuthority(dir, time.Now()); err != nil {
		t.Fatal(err)
	}
	return dir
}

func machine(t *testing.T, ca string) (string, *Keyring) {
	t.Helper()
	dir := t.TempDir()
	issue(t, ca, dir)
	r, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return dir, r
}

func issue(t *testing.T, ca, dir string) {
	t.Helper()
	if err := Issue(ca, dir, "n", loopback, 30, time.Now()); err != nil {
		t.Fatal(err)
	}
}

// shake has one machine call another and returns what both ends say.
func shake(t *testing.T, client, server *Keyring, ip net.IP) error {
	t.Helper()
	a, b := net.Pipe()
	end := time.Now().Add(5 * time.Minute) // against a hang alone
	if err := errors.Join(a.SetDeadline(end), b.SetDeadline(end)); err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() {
		s := tls.Server(b, server.ServerConfig())
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte("x")) // a client learns with the first byte that it was taken
		}
		served <- errors.Join(err, b.Close())
	}()
	c := tls.Client(a, client.ClientConfig(ip))
	err := c.Handshake()
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	return errors.Join(err, a.Close(), <-served)
}

// Machines of one authority authenticate each other; one of another authority, or one that
// answers for another address, is refused.
func TestMutualTLSWithinOneAuthority(t *testing.T) {
	t.Parallel()
	ca, other := authority(t), authority(t)
	_, a := machine(t, ca)
	_, b := machine(t, ca)
	_, x := machine(t, other)
	if err := shake(t, a, b, loopback); err != nil {
		t.Error(err)
	}
	if shake(t, x, b, loopback) == nil {
		t.Error("a other client is served")
	}
	if shake(t, a, x, loopback) == nil {
		t.Error("a other server is taken for the system's")
	}
	if shake(t, a, b, net.ParseIP("127.0.0.2")) == nil {
		t.Error("a certificate for another address is taken")
	}
	if err := InitAuthority(ca, time.Now()); !errors.Is(err, ErrAuthorityExists) {
		t.Errorf("an authority is written over: %v", err)
	}
}

// Keys are rotated while all processes run: at every point, machines with the new folder
// and those with the old one authenticate each other.
func TestRotation(t *testing.T) {
	t.Parallel()
	ca := authority(t)
	dirA, a := machine(t, ca)
	dirB, b := machine(t, ca)
	talk := func(when string) {
		t.Helper()
		if err := errors.Join(shake(t, a, b, loopback), shake(t, b, a, loopback)); err != nil {
			t.Fatalf("%s: %v", when, err)
		}
		sealed, err := a.Sealer(1, 2).Seal(nil, []byte("message"))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := b.Sealer(3, 4).Open(nil, sealed); err != nil || string(got) != "message" {
			t.Fatalf("%s: %q, %v", when, got, err)
		}
	}
	oldDir := t.TempDir()
	issue(t, ca, oldDir)
	for _, want := range []Stage{StageAdded, StageInUse, StageDropped} {
		if got, err := Rotate(ca, time.Now()); err != nil || got != want {
			t.Fatalf("%s, %v; want %s", got, err, want)
		}
		for i, dir := range []string{dirA, dirB} { // one machine after the other
			issue(t, ca, dir)
			if changed, err := []*Keyring{a, b}[i].Reload(); err != nil || !changed {
				t.Fatal(changed, err)
			}
			talk(string(want) + dir)
		}
	}
	old, err := Open(oldDir)
	if err != nil {
		t.Fatal(err)
	}
	if shake(t, old, b, loopback) == nil {
		t.Error("the old keys are still taken")
	}
	if err := os.WriteFile(filepath.Join(dirB, keyFile), []byte("spoilt"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Reload(); err == nil {
		t.Error("a spoilt key is taken")
	}
	talk("after a spoilt key on disk")
}

// Who has no key can't read, change or make a sealed datagram, or send it again much later.
func TestSealedDatagrams(t *testing.T) {
	t.Parallel()
	ca := authority(t)
	_, a := machine(t, ca)
	_, b := machine(t, ca)
	_, x := machine(t, authority(t))
	from, to := a.Sealer(1, 1), b.Sealer(2, 2)
	first, err := from.Seal(nil, []byte("message"))
	if err != nil || bytes.Contains(first, []byte("message")) || len(first) != len("message")+SealOverhead {
		t.Fatalf("%x, %v", first, err)
	}
	for i := range first {
		spoilt := bytes.Clone(first)
		spoilt[i] ^= 1
		if _, err := to.Open(nil, spoilt); err == nil {
			t.Fatalf("byte %d is changed and nobody sees it", i)
		}
		if _, err := to.Open(nil, first[:i]); err == nil {
			t.Fatalf("cut after %d bytes and nobody sees it", i)
		}
	}
	if len(to.senders) != 0 {
		t.Error("a sender without a key is remembered")
	}
	other, err := x.Sealer(1, 1).Seal(nil, []byte("message"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := to.Open(nil, other); err == nil {
		t.Error("a datagram of another authority is opened")
	}
	for range 2 * replayWindow {
		sealed, err := from.Seal(nil, []byte("message"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := to.Open(nil, sealed); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := to.Open(nil, first); err == nil {
		t.Error("an old datagram is opened again")
	}
}
