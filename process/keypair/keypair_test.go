package keypair

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
)

// writePair writes a new key and a certificate with that serial number.
func writePair(t *testing.T, cert, key string, serial int64) {
	t.Helper()
	g := NewWithT(t)
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &k.PublicKey, k)
	g.Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(k)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600)).To(Succeed())
	g.Expect(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600)).To(Succeed())
}

func serial(t *testing.T, r *Reloader) int64 {
	t.Helper()
	pair, err := r.TLSConfig().GetCertificate(nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return pair.Leaf.SerialNumber.Int64()
}

// A renewal writes the certificate first and the key a moment later. Between
// the two writes the files do not match: handshakes have to use the old pair,
// and the new one once both files are written.
func TestHalfWrittenRenewalKeepsThePreviousPair(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "c.pem"), filepath.Join(dir, "k.pem")
	writePair(t, cert, key, 1)
	r, err := New(cert, key)
	g.Expect(err).NotTo(HaveOccurred())
	c := clock.NewManual(time.Unix(0, 0))
	ctx, cancel := context.WithCancel(context.Background())
	reports, done := make(chan error), make(chan struct{})
	signals := make(chan os.Signal)
	go func() {
		defer close(done)
		r.Watch(ctx, c, signals, func(_ string, err error) { reports <- err })
	}()

	writePair(t, cert, filepath.Join(dir, "other.pem"), 2)
	g.Eventually(c.Waiters).Should(Equal(1))
	c.Advance(PollInterval)
	g.Expect(<-reports).To(HaveOccurred())
	g.Expect(serial(t, r)).To(BeEquivalentTo(1))

	writePair(t, cert, key, 3)
	signals <- os.Interrupt // any signal
	g.Expect(<-reports).To(Succeed())
	g.Expect(serial(t, r)).To(BeEquivalentTo(3))
	cancel()
	<-done
}

func TestNewReportsMissingFile(t *testing.T) {
	_, err := New("none.pem", "none.key")
	NewWithT(t).Expect(err).To(MatchError(os.ErrNotExist))
}
