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

// handshake connects a client to a server and returns the errors of both ends.
func handshake(t *testing.T, client, server *Keyring, ip net.IP) error {
	t.Helper()
	a, b := net.Pipe()
	deadline := time.Now().Add(5 * time.Minute) // only to prevent a hang
	if err := errors.Join(a.SetDeadline(deadline), b.SetDeadline(deadline)); err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() {
		s := tls.Server(b, server.ServerConfig())
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte("x")) // in TLS 1.3 only data from the server shows that it accepted the client
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

// Machines of the same authority authenticate each other. A machine of another authority, or
// a server with a certificate for another address, is rejected.
func TestMutualTLSWithinOneAuthority(t *testing.T) {
	t.Parallel()
	ca, other := authority(t), authority(t)
	_, a := machine(t, ca)
	_, b := machine(t, ca)
	_, x := machine(t, other)
	if err := handshake(t, a, b, loopback); err != nil {
		t.Error(err)
	}
	if handshake(t, x, b, loopback) == nil {
		t.Error("a client of another authority is accepted")
	}
	if handshake(t, a, x, loopback) == nil {
		t.Error("a server of another authority is accepted")
	}
	if handshake(t, a, b, net.ParseIP("127.0.0.2")) == nil {
		t.Error("a certificate for another address is accepted")
	}
	if err := InitAuthority(ca, time.Now()); !errors.Is(err, ErrAuthorityExists) {
		t.Errorf("an authority is overwritten: %v", err)
	}
}

// Keys are rotated while all processes run: at any time, machines with the folder of the new
// stage and machines with that of the previous stage authenticate each other.
func TestRotation(t *testing.T) {
	t.Parallel()
	ca := authority(t)
	dirA, a := machine(t, ca)
	dirB, b := machine(t, ca)
	expectMutualTrust := func(when string) {
		t.Helper()
		if err := errors.Join(handshake(t, a, b, loopback), handshake(t, b, a, loopback)); err != nil {
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
			expectMutualTrust(string(want) + dir)
		}
	}
	old, err := Open(oldDir)
	if err != nil {
		t.Fatal(err)
	}
	if handshake(t, old, b, loopback) == nil {
		t.Error("the old keys are still accepted")
	}
	if err := os.WriteFile(filepath.Join(dirB, keyFile), []byte("spoilt"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Reload(); err == nil {
		t.Error("a corrupt key is accepted")
	}
	expectMutualTrust("after reading a corrupt key")
}

// A first or third stage that was interrupted between its writes left different numbers of certificates and gossip
// keys, and every later rotation failed (docs/incidents/0029). After any of its writes the next call of Rotate drops
// what is not active, machines can be issued, and a whole rotation follows.
func TestInterruptedFirstAndLastStageAreResumed(t *testing.T) {
	t.Parallel()
	for _, interrupted := range []Stage{StageAdded, StageDropped} {
		for written := 1; written <= 3; written++ {
			ca := authority(t)
			for stage := Stage(""); stage != StageInUse && interrupted == StageDropped; {
				var err error
				if stage, err = Rotate(ca, time.Now()); err != nil {
					t.Fatal(err)
				}
			}
			before := t.TempDir()
			copyFiles(t, ca, before)
			if stage, err := Rotate(ca, time.Now()); err != nil || stage != interrupted {
				t.Fatalf("%s, %v", stage, err)
			}
			for _, name := range []string{caFile, gossipKeyFile, nextGossipKeyFile}[:written] {
				if data, err := readFile(ca, name); err == nil {
					write(t, before, name, data)
				}
			}
			issue(t, before, t.TempDir())
			stages := []Stage{StageDropped, StageAdded, StageInUse, StageDropped}
			if interrupted == StageDropped && written > 1 { // all that matters was written
				stages = stages[1:]
			}
			for _, want := range stages {
				if stage, err := Rotate(before, time.Now()); err != nil || stage != want {
					t.Fatalf("%s, %d writes: %s, %v; want %s", interrupted, written, stage, err, want)
				}
				issue(t, before, t.TempDir())
			}
		}
	}
}

// copyFiles copies the files of a folder.
func copyFiles(t *testing.T, from, to string) {
	t.Helper()
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
}

// Without a gossip key, nobody can read, modify or forge a sealed datagram, or replay it once
// it is outside the replay window.
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
		corrupt := bytes.Clone(first)
		corrupt[i] ^= 1
		if _, err := to.Open(nil, corrupt); err == nil {
			t.Fatalf("a datagram with byte %d changed is accepted", i)
		}
		if _, err := to.Open(nil, first[:i]); err == nil {
			t.Fatalf("a datagram truncated to %d bytes is accepted", i)
		}
	}
	if len(to.senders) != 0 {
		t.Error("state is kept for a sender without a key")
	}
	other, err := x.Sealer(1, 1).Seal(nil, []byte("message"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := to.Open(nil, other); err == nil {
		t.Error("a datagram sealed with another key is accepted")
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
		t.Error("a replayed datagram is accepted")
	}
}
