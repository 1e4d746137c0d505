// Package keypair keeps the certificate of a listening port and replaces it
// while the process runs, so that a renewed certificate needs no restart.
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

// CheckEvery is the pause between two looks at the files.
const PollInterval = 10 * time.Second

// Reloader serves the newest sound pair of its two PEM files.
type Reloader struct {
	certFile, keyFile string
	current           atomic.Pointer[tls.Certificate]

	mu   sync.Mutex
	read []byte // both files as last loaded
}

// New loads the pair; a pair that does not fit is an error.
func New(certFile, keyFile string) (*Reloader, error) {
	r := &Reloader{certFile: certFile, keyFile: keyFile}
	if _, err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload reads the files again and reports whether they had changed. A pair
// that is half written or does not fit leaves the earlier one in use: callers
// must not lose a working port to a mistake in a renewal.
func (r *Reloader) Reload() (changed bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	certPEM, err := os.ReadFile(r.certFile)
	if err != nil {
		return false, fmt.Errorf("certificate: %w", err)
	}
	keyPEM, err := os.ReadFile(r.keyFile)
	if err != nil {
		return false, fmt.Errorf("certificate's key: %w", err)
	}
	both := append(append(certPEM, 0), keyPEM...)
	if bytes.Equal(both, r.read) {
		return false, nil
	}
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return false, fmt.Errorf("certificate %s: %w", r.certFile, err)
	}
	r.current.Store(&pair)
	r.read = both
	return true, nil
}

// Config returns the listener's TLS settings. Each handshake takes the pair
// then in use; connections that are open keep theirs.
func (r *Reloader) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.current.Load(), nil
		},
	}
}

// Watch reloads on each signal from now and whenever the files change, until
// ctx ends. report hears of each reload and of each failure.
func (r *Reloader) Watch(ctx context.Context, c clock.Clock, now <-chan os.Signal, report func(file string, err error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-now:
		case <-c.After(PollInterval):
		}
		if changed, err := r.Reload(); changed || err != nil {
			report(r.certFile, err)
		}
	}
}
