package entryhost

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// writeSelfSignedPair writes a self-signed certificate for 127.0.0.1 and its key
// to the two files, and returns a pool with the certificate.
func writeSelfSignedPair(cert, key string, serial int64) *x509.CertPool {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &k.PublicKey, k)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(k)
	Expect(err).NotTo(HaveOccurred())
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	Expect(os.WriteFile(cert, certPEM, 0o600)).To(Succeed())
	Expect(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600)).To(Succeed())
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(certPEM)
	return pool
}

// servedSerial returns a function that returns the serial number of the
// certificate served at addr, or 0 if the request fails.
func servedSerial(addr string, roots *x509.CertPool) func() int64 {
	return func() int64 {
		c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: roots}}}
		resp, err := c.Get("https://" + addr + "/healthz")
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		return resp.TLS.PeerCertificates[0].SerialNumber.Int64()
	}
}

var _ = Describe("TLS of the ports", func() {
	It("serves both ports with their certificates and reloads renewed ones on a signal", func() {
		env, s := newBlockingEnv()
		s.unblock()
		dir := GinkgoT().TempDir()
		cert, key := filepath.Join(dir, "c.pem"), filepath.Join(dir, "k.pem")
		roots := writeSelfSignedPair(cert, key, 1)
		reload := make(chan os.Signal, 1)
		h := env.newHost("e1", func(o *Options) {
			o.CertFile, o.KeyFile, o.AdminCertFile, o.AdminKeyFile = cert, key, cert, key
			o.Reload = reload
		})
		runHost(h)
		callers, admin := h.Addresses()
		Eventually(servedSerial(callers, roots), 5*time.Second).Should(BeEquivalentTo(1))
		Expect(servedSerial(admin, roots)()).To(BeEquivalentTo(1))
		roots = writeSelfSignedPair(cert, key, 2)
		reload <- syscall.SIGHUP
		Eventually(servedSerial(callers, roots), 5*time.Second).Should(BeEquivalentTo(2))
		Eventually(servedSerial(admin, roots), 5*time.Second).Should(BeEquivalentTo(2))
	})
})
