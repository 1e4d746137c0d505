package loadctl

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"bilberrydale/internal/load"
)

func TestParseRequestKinds(t *testing.T) {
	g := NewWithT(t)
	mix, err := parseRequestKinds("/a,/b:2.5,/c:1:stream", "acc", "{}")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(mix).To(Equal([]load.RequestKind{
		{Path: "/a", Weight: 1, Account: "acc", Body: "{}"},
		{Path: "/b", Weight: 2.5, Account: "acc", Body: "{}"},
		{Path: "/c", Weight: 1, Account: "acc", Body: "{}", Stream: true},
	}))
	_, err = parseRequestKinds("/a:many", "", "")
	g.Expect(err).To(MatchError(ContainSubstring("positive number")))
}

// The command fails when more requests than allowed have no complete response, so
// that scripts can use its exit status.
func TestTrafficFailsAboveMaxFailed(t *testing.T) {
	g := NewWithT(t)
	srv := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(srv.Close)
	file := filepath.Join(t.TempDir(), "out.json")
	args := []string{"traffic", "--targets", srv.Listener.Addr().String(), "--rate", "200", "--duration", "100ms", "--out", file}
	var out bytes.Buffer
	g.Expect(Run(t.Context(), args, &out)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("status_404"))
	data, err := os.ReadFile(file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(ContainSubstring(`"whole": 0`))
	g.Expect(Run(t.Context(), append(args, "--max-failed", "0.5"), &out)).To(MatchError(ContainSubstring("over 0.5")))
	g.Expect(Run(t.Context(), []string{"fly"}, &out)).NotTo(Succeed())
}
