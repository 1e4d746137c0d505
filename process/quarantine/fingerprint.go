package quarantine

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies the content of a request, so that it is recognized when its
// caller sends it again.
type Fingerprint uint64

// Content is what identifies a request. Host and Account are empty on request paths
// that do not distinguish requests by them.
type Content struct {
	Method, URI   string
	Host, Account string   // of the request, and the client account
	Body          [][]byte // in parts
}

// Fingerprint returns the fingerprint of the content.
func (c Content) Fingerprint() Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(c.Method + " " + c.URI + "\n")
	for _, part := range c.Body {
		_, _ = d.Write(part)
	}
	if c.Host != "" || c.Account != "" {
		_, _ = d.WriteString("\n" + c.Host + "\n" + c.Account)
	}
	return Fingerprint(d.Sum64())
}

// MarshalText implements encoding.TextMarshaler. The text is hexadecimal with 16
// digits, as in the refusals that callers get.
func (f Fingerprint) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%016x", uint64(f)), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It accepts a hexadecimal number.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return fmt.Errorf("fingerprint %q is not a 64-bit hexadecimal number", text)
	}
	*f = Fingerprint(v)
	return nil
}
