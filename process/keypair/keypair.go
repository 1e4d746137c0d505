// Package keypair loads the TLS certificate of a listener and replaces it while
// the process runs, so that a renewed certificate needs no restart.
package keypair

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/clock"
)

// PollInterval is the time between two checks of the files for changes.
const PollInterval = 10 * time.Second

// Reloader serves the last valid certificate and key read from two PEM files.
// It is safe for concurrent use.
type Reloader struct {
	certFile, keyFile string                          // paths of the PEM files
	current           atomic.Pointer[tls.Certificate] // last valid pair

	mu        sync.Mutex // serializes Reload and guards loadedPEM
	loadedPEM []byte     // contents of both files at the last successful load
}

// New loads the certificate and key. It fails if a file cannot be read or the
// key does not match the certificate.
func New(certFile, keyFile string) (*Reloader, error) {
	r := &Reloader{certFile: certFile, keyFile: keyFile}
	if _, err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload reads the files again and reports whether a changed pair was loaded. If
// the files are invalid or do not match, as while a renewal is being written,
// it returns an error and the previous pair stays in use, so that a mistake in
// a renewal does not take a working port down.
func (r *Reloader) Reload() (changed bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	certPEM, err := os.ReadFile(r.certFile)
	if err != nil {
		return false, fmt.Errorf("read certificate: %w", err)
	}
	keyPEM, err := os.ReadFile(r.keyFile)
	if err != nil {
		return false, fmt.Errorf("read key of the certificate: %w", err)
	}
	contents := append(append(certPEM, 0), keyPEM...)
	if bytes.Equal(contents, r.loadedPEM) {
		return false, nil
	}
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return false, fmt.Errorf("certificate %s: %w", r.certFile, err)
	}
	r.current.Store(&pair)
	r.loadedPEM = contents
	return true, nil
}

// TLSConfig returns the TLS configuration of the listener. Each handshake uses
// the pair that is current at that time; open connections keep theirs.
func (r *Reloader) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.current.Load(), nil
		},
	}
}

// Watch reloads the files on each value from reload and whenever they change,
// until ctx ends. It calls onReload after each successful reload, with a nil
// error, and after each failure, with the path of the certificate.
func (r *Reloader) Watch(ctx context.Context, c clock.Clock, reload <-chan os.Signal, onReload func(file string, err error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-c.After(PollInterval):
		}
		if changed, err := r.Reload(); changed || err != nil {
			onReload(r.certFile, err)
		}
	}
}
