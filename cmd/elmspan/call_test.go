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
func certificate(t *testing.T, dir string) (certFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	for path, block := range map[string]*pem.Block{
		certFile: {Type: "CERTIFICATE", Bytes: der},
		keyFile:  {Type: "EC PRIVATE KEY", Bytes: private},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return certFile, keyFile
}

// guarded is an operator's interface behind TLS and tokens, on loopback.
type guarded struct {
	control  string
	registry *operators.Registry
	ca       string // file of its authority
}

// serveGuarded serves one that answers with the caller's name until the test ends.
func serveGuarded(t *testing.T, dir, operatorsFile string) *guarded {
	t.Helper()
	registry, err := operators.Open(operatorsFile)
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
	access := &operators.AccessControl{Registry: registry, Log: slog.New(slog.DiscardHandler), Now: time.Now}
	srv := &http.Server{
		ReadHeaderTimeout: 2 * time.Minute,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, 0),
		Handler: access.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte(operators.Caller(r.Context()))) // a caller without an answer fails the test
		})),
	}
	go func() { _ = srv.Serve(tls.NewListener(l, cert.Config())) }() // ends as the server is closed
	t.Cleanup(func() {
		if err := srv.Close(); err != nil {
			t.Error(err)
		}
	})
	return &guarded{l.Addr().String(), registry, certFile}
}

// callFails checks that a call does not get in, and why.
func (g *guarded) callFails(t *testing.T, f *callerFlags, method, path, want string) {
	t.Helper()
	if _, err := f.call(method, g.control, path, nil, nil); err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("%s %s: %v, want %q", method, path, err, want)
	}
}

// An operator that was added calls a guarded interface by TLS with the token; one
// without a token, one who trusts another authority, and one that was removed do not
// get in.
func TestGuardedCalls(t *testing.T) {
	dir := t.TempDir()
	file, token := filepath.Join(dir, "operators.toml"), filepath.Join(dir, "token")
	ci, secret, err := operators.New("ci", operators.RoleRead, time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	if err := operators.Save(file, []operators.Operator{ci}); err != nil {
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
	g := serveGuarded(t, dir, file)

	reader := &callerFlags{TokenFile: token, CA: g.ca}
	if got, err := reader.call("GET", g.control, "/v1/Status", nil, nil); err != nil || string(got) != "ci" {
		t.Errorf("%q, %v", got, err)
	}
	g.callFails(t, reader, "POST", "/v1/Config.Replace", "403")        // a reader changes nothing
	g.callFails(t, &callerFlags{CA: g.ca}, "GET", "/v1/Status", "401") // without a token
	other, _ := certificate(t, t.TempDir())                            // of another authority
	untrusting := &callerFlags{TokenFile: token, CA: other}
	g.callFails(t, untrusting, "GET", "/v1/Status", "certificate")
	if err := (&operatorsRemove{File: file, Name: "ci"}).Run(); err != nil {
		t.Fatal(err)
	}
	if _, err := g.registry.Reload(); err != nil {
		t.Fatal(err)
	}
	g.callFails(t, reader, "GET", "/v1/Status", "401")
	if err := (&operatorsRemove{File: file, Name: "ci"}).Run(); err == nil {
		t.Error("one that is not there was removed")
	}
}
