package quarantine

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"
)

// Guards against a release that no longer recognizes requests recorded by the one before:
// stored claims hold the fingerprint of the method, the URI and the body.
func TestFingerprintWithoutHostAndAccountIsStable(t *testing.T) {
	g := NewWithT(t)
	c := Content{Method: "POST", URI: "/book?n=1", Body: [][]byte{[]byte("soap")}}
	g.Expect(c.Fingerprint()).To(Equal(Fingerprint(xxhash.Sum64String("POST /book?n=1\nsoap"))))
}

// Guards against one account's crashing request keeping out another account's request with
// the same content.
func TestFingerprintDistinguishesEachField(t *testing.T) {
	g := NewWithT(t)
	base := Content{Method: "POST", URI: "/a", Host: "h", Account: "x", Body: [][]byte{[]byte("b")}}
	seen := map[Fingerprint]bool{base.Fingerprint(): true}
	for _, change := range []func(*Content){
		func(c *Content) { c.Method = "GET" },
		func(c *Content) { c.URI = "/b" },
		func(c *Content) { c.Host = "i" },
		func(c *Content) { c.Account = "y" },
		func(c *Content) { c.Body = [][]byte{[]byte("c")} },
	} {
		c := base
		change(&c)
		g.Expect(seen).NotTo(HaveKey(c.Fingerprint()))
		seen[c.Fingerprint()] = true
	}
}
