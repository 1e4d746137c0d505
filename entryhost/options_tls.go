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

// tlsOptions name the PEM files of the certificates for the callers' and the
// operators' port. A port without a certificate serves plain HTTP.
type tlsOptions struct {
	CertFile, KeyFile           string // paths, for the callers' port
	AdminCertFile, AdminKeyFile string // paths, for the operators' port
	// Each signal on Reload makes the host read all certificates again; the
	// daemon forwards SIGHUP.
	Reload <-chan os.Signal
}

func (o *tlsOptions) registerSettings(set *settings.Set) {
	set.String(&o.CertFile, "tls-cert", "PEM certificate of the callers' port; empty: plain HTTP", nil)
	set.String(&o.KeyFile, "tls-key", "PEM key of the callers' port", nil)
	set.String(&o.AdminCertFile, "admin-tls-cert", "PEM certificate of the operators' port; empty: plain HTTP", nil)
	set.String(&o.AdminKeyFile, "admin-tls-key", "PEM key of the operators' port", nil)
}

// check returns an error for a certificate without a key, a key without a
// certificate, and a pair that cannot be loaded.
func (o *tlsOptions) check() error {
	var errs []error
	for _, p := range []struct{ name, cert, key string }{{"tls", o.CertFile, o.KeyFile}, {"admin-tls", o.AdminCertFile, o.AdminKeyFile}} {
		if (p.cert == "") != (p.key == "") {
			errs = append(errs, fmt.Errorf("--%s-cert and --%s-key: set both or none", p.name, p.name))
			continue
		}
		if p.cert == "" {
			continue
		}
		if _, err := keypair.New(p.cert, p.key); err != nil {
			errs = append(errs, fmt.Errorf("--%s-cert: %w", p.name, err))
		}
	}
	return errors.Join(errs...)
}

// wrapTLS returns a TLS listener over l with the certificate from the two files,
// and adds a task that reloads the certificate when the files change or a reload
// signal arrives. Without a certificate it returns l.
func (h *Host) wrapTLS(l net.Listener, name, certFile, keyFile string) (net.Listener, error) {
	if certFile == "" {
		return l, nil
	}
	keyPair, err := keypair.New(certFile, keyFile)
	if err != nil {
		return l, err
	}
	reload := make(chan os.Signal, 1)
	h.certReloads = append(h.certReloads, reload)
	h.addTask(name+" certificate", func(ctx context.Context) error {
		keyPair.Watch(ctx, h.clock, reload, func(file string, err error) {
			if err != nil {
				h.log.Error("certificate not reloaded; the earlier one stays in use", "file", file, "err", err)
				return
			}
			h.log.Info("certificate reloaded", "file", file)
		})
		return nil
	})
	return tls.NewListener(l, keyPair.TLSConfig()), nil
}

// forwardReloadSignals sends each reload signal to the tasks of all certificates until
// ctx ends, and returns nil.
func (h *Host) forwardReloadSignals(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-h.opts.Reload:
			for _, ch := range h.certReloads {
				select {
				case ch <- s:
				default: // a reload is already pending
				}
			}
		}
	}
}
