package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"example.org/elmspan/operators"
)

// certificate writes a certificate of its own for loopback, and its key.
func certificate(t *testing.T, dir string) (cert, key string) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &k.PublicKey, k)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	for path, block := range map[string]*pem.Block{cert: {Type: "CERTIFICATE", Bytes: der}, key: {Type: "EC PRIVATE KEY", Bytes: private}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return cert, key
}

// An operator that was added calls a guarded interface by TLS with the token; a
// stranger, one who trusts another authority, and one that was removed do not get in.
func TestGuardedCalls(t *testing.T) {
	dir := t.TempDir()
	file, token := filepath.Join(dir, "operators.toml"), filepath.Join(dir, "token")
	o, secret, err := operators.New("ci", operators.RoleRead, time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	if err := operators.Save(file, []operators.Operator{o}); err != nil {
		t.Fatal(err)
	}
	if err := (&operatorsAdd{File: file, Name: "ci", Role: "read"}).Run(); err == nil {
		t.Error("the same name was added twice")
	}
	if err := (&operatorsAdd{File: file, Name: "ops", Role: "change", For: time.Hour}).Run(); err != nil {
		t.Error(err)
	}
	if err := os.WriteFile(token, []byte(secret+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	book, err := operators.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	certFile, keyFile := certificate(t, dir)
	cert, err := operators.OpenCertificate(certFile, keyFile)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &operators.AccessControl{Registry: book, Log: slog.New(slog.DiscardHandler), Now: time.Now}
	srv := &http.Server{ReadHeaderTimeout: 2 * time.Minute, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0),
		Handler: g.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.Write([]byte(operators.Caller(r.Context()))) }))}
	go srv.Serve(tls.NewListener(l, cert.Config()))
	t.Cleanup(func() { srv.Close() })
	control := l.Addr().String()

	f := callerFlags{TokenFile: token, CA: certFile}
	if got, err := f.call("GET", control, "/v1/Status", nil, nil); err != nil || string(got) != "ci" {
		t.Errorf("%q, %v", got, err)
	}
	if _, err := f.call("POST", control, "/v1/Config.Replace", nil, nil); err == nil || !strings.Contains(err.Error(), "403") {
		t.Errorf("a reader changes: %v", err)
	}
	if _, err := (&callerFlags{CA: certFile}).call("GET", control, "/v1/Status", nil, nil); err == nil || !strings.Contains(err.Error(), "401") {
		t.Errorf("without a token: %v", err)
	}
	other, _ := certificate(t, t.TempDir())
	if _, err := (&callerFlags{TokenFile: token, CA: other}).call("GET", control, "/v1/Status", nil, nil); err == nil {
		t.Error("a certificate of another authority is believed")
	}
	if err := (&operatorsRemove{File: file, Name: "ci"}).Run(); err != nil {
		t.Fatal(err)
	}
	if _, err := book.Reload(); err != nil {
		t.Fatal(err)
	}
	if _, err := f.call("GET", control, "/v1/Status", nil, nil); err == nil || !strings.Contains(err.Error(), "401") {
		t.Errorf("after it was removed: %v", err)
	}
	if err := (&operatorsRemove{File: file, Name: "ci"}).Run(); err == nil {
		t.Error("one that is not there was removed")
	}
}
