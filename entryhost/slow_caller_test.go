package entryhost

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrydale/connection/backend"
	"bilberrydale/request/entry"
	"bilberrydale/version/table"
)

// flood is an engine that streams until its caller goes away.
func flood(w http.ResponseWriter, r *http.Request) {
	for _, name := range []string{backend.HeaderRequestID, backend.HeaderStage, backend.HeaderAttempt} {
		w.Header().Set(name, r.Header.Get(name))
	}
	enc := json.NewEncoder(w)
	data := strings.Repeat("a", 64<<10)
	for offset := int64(0); ; offset += int64(len(data)) {
		if enc.Encode(backend.Chunk{Offset: offset, Data: data}) != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

var _ = Describe("a caller that stops reading", func() {
	// The caller asks for a stream and never reads it. The socket fills, and the
	// write of the next chunk waits for the caller alone; the deadline passes
	// without ending it. The request must end by itself, or it would hold the
	// backend server's stream and every later shutdown.
	It("does not keep its request in flight past the deadline", func() {
		w := newWorld()
		w.pool(table.Pool{Name: "model", Kind: table.Engine, Slots: 8, Model: table.Model{Name: "m"}}, http.HandlerFunc(flood))
		r := fourStages()
		r.Stages = r.Stages[3:]
		r.Stages[0].Budget, r.Deadline = table.Duration(300*time.Millisecond), table.Duration(300*time.Millisecond)
		w.tables.Routes = []table.Route{r}
		w.apply("ada")
		h := w.host("e1")
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		callers, _ := h.Addresses()
		conn, err := net.Dial("tcp", callers)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = fmt.Fprintf(conn, "POST /v1/drafts HTTP/1.1\r\nHost: e1\r\nAccept: %s\r\nContent-Length: 2\r\n\r\n{}", entry.StreamMediaType)
		Expect(err).NotTo(HaveOccurred())
		Eventually(h.gate.Active, 5*time.Second).Should(BeEquivalentTo(1))
		Eventually(h.gate.Active, 10*time.Second).Should(BeZero())
	})
})
