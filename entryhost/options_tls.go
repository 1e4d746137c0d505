package entryhost

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"

	"bilberrydale/internal/settings"
	"bilberrydale/process/keypair"
)

// tlsOptions name the certificates of the callers' and the operators' port.
// Without them a port speaks plain HTTP.
type tlsOptions struct {
	CertFile, KeyFile           string // callers
	AdminCertFile, AdminKeyFile string // operators
	// Reload makes every certificate be read again; the daemon sends SIGHUP.
	Reload <-chan os.Signal
}

func (o *tlsOptions) register(set *settings.Set) {
	set.String(&o.CertFile, "tls-cert", "PEM certificate of the callers' port; empty: plain HTTP", nil)
	set.String(&o.KeyFile, "tls-key", "PEM key of the callers' port", nil)
	set.String(&o.AdminCertFile, "admin-tls-cert", "PEM certificate of the operators' port; empty: plain HTTP", nil)
	set.String(&o.AdminKeyFile, "admin-tls-key", "PEM key of the operators' port", nil)
}

func (o *tlsOptions) check() error {
	var faults []error
	for _, p := range []struct{ name, cert, key string }{{"tls", o.CertFile, o.KeyFile}, {"admin-tls", o.AdminCertFile, o.AdminKeyFile}} {
		if (p.cert == "") != (p.key == "") {
			faults = append(faults, fmt.Errorf("--%s-cert and --%s-key: set both or none", p.name, p.name))
			continue
		}
		if p.cert == "" {
			continue
		}
		if _, err := keypair.New(p.cert, p.key); err != nil {
			faults = append(faults, fmt.Errorf("--%s-cert: %w", p.name, err))
		}
	}
	return errors.Join(faults...)
}

// secure wraps l with the certificate in the two files and keeps it current.
func (h *Host) secure(l net.Listener, name, certFile, keyFile string) (net.Listener, error) {
	if certFile == "" {
		return l, nil
	}
	pair, err := keypair.New(certFile, keyFile)
	if err != nil {
		return l, err
	}
	signals := make(chan os.Signal, 1)
	h.reloads = append(h.reloads, signals)
	h.add(name+" certificate", func(ctx context.Context) error {
		pair.Watch(ctx, h.clock, signals, func(file string, err error) {
			if err != nil {
				h.log.Error("certificate not reloaded; the earlier one stays in use", "file", file, "err", err)
				return
			}
			h.log.Info("certificate reloaded", "file", file)
		})
		return nil
	})
	return tls.NewListener(l, pair.TLSConfig()), nil
}

// forwardReloads passes each reload signal to every certificate.
func (h *Host) forwardReloads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-h.opts.Reload:
			for _, ch := range h.reloads {
				select {
				case ch <- s:
				default: // one is waiting already
				}
			}
		}
	}
}
