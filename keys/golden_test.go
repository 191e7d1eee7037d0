package keys

import (
	"bytes"
	"crypto/ecdsa"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// The golden files were written by an earlier release with the date 2000-01-01, at which the
// clock of a synctest bubble starts, so that in a bubble their certificates are always valid.

const goldenDir = "testdata/golden"

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(goldenDir, name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// copyGolden copies a golden folder to a temporary folder, where it can be modified.
func copyGolden(t *testing.T, name string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join(goldenDir, name))); err != nil {
		t.Fatal(err)
	}
	return dir
}

func expectFile(t *testing.T, dir, name string, want []byte) {
	t.Helper()
	if got, err := os.ReadFile(filepath.Join(dir, name)); err != nil || !bytes.Equal(got, want) {
		t.Errorf("%s: %q, %v, want %q", name, got, err, want)
	}
}

// Private keys written by an earlier release can be read and are re-encoded to the same bytes.
func TestGoldenKeyFiles(t *testing.T) {
	for _, name := range []string{"authority/ca.key", "node/node.key", "rotating/ca.key", "rotating/next.key"} {
		k, err := readPrivateKey(filepath.Join(goldenDir, name))
		if err != nil {
			t.Fatal(err)
		}
		key, ok := k.(*ecdsa.PrivateKey)
		if !ok {
			t.Fatalf("%s contains a %T", name, k)
		}
		encoded, err := encodePrivateKey(key)
		if golden := readGolden(t, name); err != nil || !bytes.Equal(encoded, golden) {
			t.Errorf("%s is encoded as %q, %v, want %q", name, encoded, err, golden)
		}
	}
}

// A machine's folder written by an earlier release can be opened, and its certificate has the
// expected expiry and IP address.
func TestGoldenNodeFolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ring, err := Open(filepath.Join(goldenDir, "node"))
		if err != nil {
			t.Fatal(err)
		}
		if want := time.Now().AddDate(0, 0, 3650); !ring.Expires().Equal(want) {
			t.Errorf("the certificate expires at %v, want %v", ring.Expires(), want)
		}
		if err := handshake(t, ring, ring, net.ParseIP("10.1.0.13")); err != nil {
			t.Error(err)
		}
		if handshake(t, ring, ring, net.ParseIP("10.1.0.14")) == nil {
			t.Error("a certificate for another address is accepted")
		}
	})
}

// An authority created by an earlier release can issue machine folders. The trusted keys are
// copied byte for byte; the machine's certificate and key are random, so only the fields of
// the certificate can be compared.
func TestGoldenAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir, out := copyGolden(t, "authority"), t.TempDir()
		if err := Issue(dir, out, "edge-a-1", net.ParseIP("10.1.0.13"), 3650, time.Now()); err != nil {
			t.Fatal(err)
		}
		expectFile(t, out, "ca.pem", readGolden(t, "node/ca.pem"))
		expectFile(t, out, "words.key", readGolden(t, "node/words.key"))
		issued, err := Open(out)
		if err != nil {
			t.Fatal(err)
		}
		ring, err := Open(filepath.Join(goldenDir, "node"))
		if err != nil {
			t.Fatal(err)
		}
		ip := net.ParseIP("10.1.0.13")
		if err := errors.Join(handshake(t, ring, issued, ip), handshake(t, issued, ring, ip)); err != nil {
			t.Error(err)
		}
		had, has := ring.current.Load().certificate.Leaf, issued.current.Load().certificate.Leaf
		if had.Subject.String() != has.Subject.String() || had.Issuer.String() != has.Issuer.String() ||
			!had.NotBefore.Equal(has.NotBefore) || !had.NotAfter.Equal(has.NotAfter) || had.KeyUsage != has.KeyUsage ||
			fmt.Sprint(had.ExtKeyUsage, had.IPAddresses) != fmt.Sprint(has.ExtKeyUsage, has.IPAddresses) {
			t.Errorf("issued %v, golden %v", has, had)
		}
	})
}

// A rotation that an earlier release began can be continued.
func TestGoldenRotation(t *testing.T) {
	dir := copyGolden(t, "rotating")
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	if stage, err := Rotate(dir, now); err != nil || stage != StageInUse {
		t.Fatalf("%s, %v", stage, err)
	}
	blocks := splitPEM(readGolden(t, "rotating/ca.pem"))
	lines := strings.Fields(string(readGolden(t, "rotating/words.key")))
	if len(blocks) != 2 || len(lines) != 2 {
		t.Fatalf("%d certificates and %d keys", len(blocks), len(lines))
	}
	expectFile(t, dir, "ca.key", readGolden(t, "rotating/next.key"))
	expectFile(t, dir, "ca.pem", bytes.Join([][]byte{blocks[1], blocks[0]}, nil))
	expectFile(t, dir, "words.key", []byte(lines[1]+"\n"+lines[0]+"\n"))
	if _, err := os.Stat(filepath.Join(dir, "next.key")); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("next.key: %v", err)
	}
	if stage, err := Rotate(dir, now); err != nil || stage != StageDropped {
		t.Fatalf("%s, %v", stage, err)
	}
	expectFile(t, dir, "ca.pem", blocks[1])
	expectFile(t, dir, "words.key", []byte(lines[1]+"\n"))
}

// If the second stage is interrupted after any of its writes, the next call completes it with the
// same result: no new key is moved back behind the old one. A retry used to swap the certificates
// back, after which no certificate could be issued.
func TestInterruptedRotationIsResumed(t *testing.T) {
	finished := copyGolden(t, "rotating")
	if stage, err := Rotate(finished, time.Now()); err != nil || stage != StageInUse {
		t.Fatalf("%s, %v", stage, err)
	}
	files := []string{caKeyFile, caFile, gossipKeyFile}
	for written := range len(files) + 1 {
		dir := copyGolden(t, "rotating")
		lines := strings.Fields(string(readGolden(t, "rotating/words.key")))
		write(t, dir, nextGossipKeyFile, []byte(lines[1]+"\n"))
		for _, name := range files[:written] {
			write(t, dir, name, read(t, finished, name))
		}
		if stage, err := Rotate(dir, time.Now()); err != nil || stage != StageInUse {
			t.Fatalf("after %d writes: %s, %v", written, stage, err)
		}
		for _, name := range files {
			expectFile(t, dir, name, read(t, finished, name))
		}
		out := t.TempDir()
		if err := Issue(dir, out, "n", net.ParseIP("10.1.0.13"), 1, time.Now()); err != nil {
			t.Errorf("after %d writes no certificate can be issued: %v", written, err)
		}
		if stage, err := Rotate(dir, time.Now()); err != nil || stage != StageDropped {
			t.Fatalf("%s, %v", stage, err)
		}
		expectFile(t, dir, gossipKeyFile, []byte(lines[1]+"\n"))
	}
}

func read(t *testing.T, dir, name string) []byte {
	t.Helper()
	data, err := readFile(dir, name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func write(t *testing.T, dir, name string, data []byte) {
	t.Helper()
	if err := writeFiles(dir, fileContent{name, data}); err != nil {
		t.Fatal(err)
	}
}

// Datagrams sealed by an earlier release can be opened, and sealing their messages yields the
// same bytes: the nonce is the sequence number of the datagram in its sender's incarnation.
func TestGoldenSealedDatagrams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ring, err := Open(filepath.Join(goldenDir, "node"))
		if err != nil {
			t.Fatal(err)
		}
		sender, receiver := ring.Sealer(0x0102030405060708, 0x1112131415161718), ring.Sealer(9, 9)
		for i := range 3 {
			text := readGolden(t, fmt.Sprintf("datagram%d.txt", i+1))
			golden := readGolden(t, fmt.Sprintf("datagram%d.bin", i+1))
			if got, err := receiver.Open(nil, golden); err != nil || !bytes.Equal(got, text) {
				t.Errorf("datagram %d contains %q, %v, want %q", i+1, got, err, text)
			}
			if got, err := sender.Seal(nil, text); err != nil || !bytes.Equal(got, golden) {
				t.Errorf("datagram %d is sealed as %x, %v, want %x", i+1, got, err, golden)
			}
			header := "S1" +
				"\x01\x02\x03\x04\x05\x06\x07\x08" +
				"\x11\x12\x13\x14\x15\x16\x17\x18" +
				"\x00\x00\x00\x00\x00\x00\x00" + string(rune(i+1))
			if !bytes.HasPrefix(golden, []byte(header)) {
				t.Errorf("datagram %d begins with %x", i+1, golden[:26])
			}
		}
	})
}
