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

// streamEndlessly handles stage calls by streaming chunks until the connection
// ends.
func streamEndlessly(w http.ResponseWriter, r *http.Request) {
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
	// The caller requests a stream and never reads it. Its socket buffer fills up, and
	// the write of the next chunk blocks, which the end of the deadline does not
	// interrupt. The request has to end anyway, or it would keep the backend server's
	// stream open and block a later shutdown.
	It("does not keep its request in flight past the deadline", func() {
		env := newTestEnv()
		env.addPool(table.Pool{Name: "model", Kind: table.Engine, Slots: 8, Model: table.Model{Name: "m"}}, http.HandlerFunc(streamEndlessly))
		r := fourStageRoute()
		r.Stages = r.Stages[3:]
		r.Stages[0].Budget, r.Deadline = table.Duration(300*time.Millisecond), table.Duration(300*time.Millisecond)
		env.tables.Routes = []table.Route{r}
		env.publish("ada")
		h := env.startHost("e1")
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
