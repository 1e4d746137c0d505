package httpresponse

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// read reads a response and returns its body.
func read(wire string) (string, error) {
	r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(wire)), nil)
	if err != nil {
		return "", err
	}
	if err := Check(r); err != nil {
		return "", err
	}
	body, err := io.ReadAll(r.Body)
	return string(body), err
}

// Guards against the end of a body behind which the lines are none of HTTP.
func TestBrokenTrailerIsNoEnd(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
	for name, c := range map[string]struct {
		trailers string
		sound    bool
	}{
		"none":           {"", true},
		"sound":          {"X-Sum: 1\r\n!~: 2\r\n", true},
		"blank":          {"X Sum: 1\r\n", false},
		"blank at end":   {"X-Sum : 1\r\n", false},
		"control byte":   {"X\x01Sum: 1\r\n", false},
		"no colon":       {"X-Sum\r\n", false},
		"after a sound":  {"X-Sum: 1\r\nContent-Length : 9\r\n", false},
		"without an end": {"X-Sum: 1", false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			end := "\r\n"
			if strings.HasPrefix(name, "without") {
				end = ""
			}
			body, err := read(start + c.trailers + end)
			if !c.sound {
				g.Expect(err).To(HaveOccurred())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("whole"))
		})
	}
}

// Guards against log lines of the size of a head.
func TestErrorQuotesAPartOfALongName(t *testing.T) {
	g := NewWithT(t)
	_, err := read("HTTP/1.1 200 OK\r\nX " + strings.Repeat("x", 10_000) + ": a\r\n\r\n")
	g.Expect(err).To(HaveOccurred())
	g.Expect(len(err.Error())).To(BeNumerically("<", 200))
}

// Guards against a reader that passes on what another reader of HTTP takes for something else.
func FuzzCheck(f *testing.F) {
	for _, head := range []string{"200 OK\r\nX: y", "000 Trouble", "200 OK\r\nX Note: a", "200 OK\r\nContent-Length : 5", "103 Early\r\n\r\nHTTP/1.1 200 OK"} {
		f.Add(head)
	}
	f.Fuzz(func(t *testing.T, head string) {
		r, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 "+head+"\r\n\r\n")), nil)
		if err != nil || Check(r) != nil {
			return
		}
		if r.StatusCode < 100 {
			t.Errorf("status %d", r.StatusCode)
		}
		for name := range r.Header {
			if strings.ContainsAny(name, " \t\r\n\x00:") || name == "" {
				t.Errorf("name %q", name)
			}
		}
	})
}
