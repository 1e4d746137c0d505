package ctl

import (
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// startAdminPort serves an admin port with TLS and a token, without /explain.
func startAdminPort(t *testing.T) (addr, ca string) {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"name":"e1","release":4,"hash":"h"}`))
	})
	mux.HandleFunc("GET /release", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"faults":["the platform is behind"]}`))
	})
	srv := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer open" {
			http.Error(w, "no", http.StatusUnauthorized)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	ca = filepath.Join(t.TempDir(), "ca.pem")
	data := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: srv.Certificate().Raw})
	NewWithT(t).Expect(os.WriteFile(ca, data, 0o600)).To(Succeed())
	return srv.Listener.Addr().String(), ca
}

func TestAdminCallsWithTLSAndToken(t *testing.T) {
	g := NewWithT(t)
	ada := newOperator(t)
	addr, ca := startAdminPort(t)
	ada.hosts = addr
	out, err := ada.run("status", "--admin-ca", ca, "--admin-token", "open")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(And(ContainSubstring("e1"), ContainSubstring("the platform is behind")))

	out, err = ada.run("status", "--admin-ca", ca, "--admin-token", "hush")
	g.Expect(err).To(MatchError("1 of 1 entry hosts do not respond"))
	g.Expect(out).To(And(ContainSubstring("set --admin-token"), Not(ContainSubstring("hush"))))

	_, err = ada.run("status", "--admin-token", "open") // plain HTTP to a TLS port
	g.Expect(err).To(HaveOccurred())
	_, err = ada.run("explain", "/v1", "--admin-ca", ca, "--admin-token", "open")
	g.Expect(err).To(MatchError(errUnsupportedCall))
	_, err = ada.run("status", "--admin-ca", ca+".none")
	g.Expect(err).To(MatchError(ContainSubstring("--admin-ca")))
}
