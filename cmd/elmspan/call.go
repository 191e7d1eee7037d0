package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"example.org/elmspan/api"
)

const callTimeout = 5 * time.Second

// callerFlags say who calls the operator's interface, and whom it believes.
type callerFlags struct {
	TokenFile string `help:"${callerflags_tokenfile}" env:"ELMSPAN_TOKEN_FILE" type:"existingfile" placeholder:"FILE"`
	CA        string `help:"${callerflags_ca}" env:"ELMSPAN_CONTROL_CA" type:"existingfile" placeholder:"FILE"`
}

// call asks a process; its plain text is the error where it does not say 200.
func (f *callerFlags) call(method, control, path string, header http.Header, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	client, scheme := http.DefaultClient, "http"
	if f.CA != "" {
		pem, err := os.ReadFile(f.CA)
		if err != nil {
			return nil, err
		}
		roots := x509.NewCertPool()
		if !roots.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s holds no certificate", f.CA)
		}
		transport := &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots}}
		defer transport.CloseIdleConnections()
		client, scheme = &http.Client{Transport: transport}, "https"
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+"://"+control+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if header != nil {
		req.Header = header
	}
	if f.TokenFile != "" {
		token, err := os.ReadFile(f.TokenFile)
		if err != nil {
			return nil, err
		}
		req.Header.Set("Authorization", "Bearer "+string(bytes.TrimSpace(token)))
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // all of it was read, or it is of no use
	got, err := io.ReadAll(io.LimitReader(resp.Body, api.MaxConfigBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s answered %d: %s", control, resp.StatusCode, bytes.TrimSpace(got))
	}
	return got, err
}
