package edge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"bilberrydale/internal/relay"
	"bilberrydale/platform/platformtest"
)

// cutFraming is how a response marks the end of its body.
type cutFraming struct {
	start, lines string // status line with what precedes it, and header lines
	chunked      bool
	byLength     bool
}

// cutFramings are those of sound responses.
var cutFramings = map[string]cutFraming{
	"length":          {start: "HTTP/1.1 200 OK\r\n", byLength: true},
	"length, closing": {start: "HTTP/1.1 200 OK\r\n", lines: "Connection: close\r\n", byLength: true},
	"length, interim": {start: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n", lines: "Keep-Alive: timeout=5\r\n", byLength: true},
	"chunks":          {start: "HTTP/1.1 200 OK\r\n", chunked: true},
	"close":           {start: "HTTP/1.1 200 OK\r\n"},
	"HTTP/1.0, close": {start: "HTTP/1.0 200 OK\r\n", lines: "Content-Type: text/event-stream\r\n"},
}

// wire returns the response with a body in its wire form, and the length of its head.
func (f cutFraming) wire(lines, body string) (wire string, headBytes int) {
	head := f.start + lines + f.lines
	switch {
	case f.byLength:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	case f.chunked:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	default:
		head += "\r\n"
	}
	return head + body, len(head)
}

// mayEndAt reports whether the body may look whole after n bytes and the end of the connection in order: that of
// a stream between events, after one of this response.
func (f cutFraming) mayEndAt(stream bool, body string, n int) bool {
	if f.byLength || f.chunked {
		return false
	}
	return !stream || strings.Contains(body[:n], "id:") && strings.HasSuffix(body[:n], "\n\n")
}

// cutReader is a reader of responses, by the request whose answer tells what it has read.
type cutReader struct {
	method, path string
	before       string // events that the client gets from an earlier server of the same answer
	lastEventID  string // of the stream that the client takes up
	body         string // of the response that is cut; ADDRESS stands for the server's
	cutPath      string // of the request whose response is cut; empty: the client's
	cutService   string // of the servers whose responses are cut; empty: all
	hidden       bool   // the client gets no part of that response
	// stride is the number of bytes between two cuts, but for those at the ends; 0: each byte.
	stride int
}

var cutReaders = map[string]cutReader{
	"unsafe":                        {method: "POST", path: "/transfer/1", body: "the whole answer"},
	"safe":                          {method: "GET", path: "/status/1", body: "the whole answer"},
	"stream":                        {method: "POST", path: "/stream/stream/1", body: firstEvents + lastEvents},
	"resumable stream":              {method: "POST", path: "/stream/resume/1", body: firstEvents + lastEvents},
	"stream that a client takes up": {method: "POST", path: "/stream/resume/1", lastEventID: "2", body: lastEvents},
	"stream that goes on":           {method: "POST", path: "/stream/resume/1", before: firstEvents, body: ": alive\n\n" + lastEvents},
	"stage call":                    {method: "POST", path: stagedPath, cutPath: platformtest.PathStageRun, cutService: "portal", hidden: true, stride: 29, body: platformtest.StageRunBody("ADDRESS" + cutHandle)},
	"release of results":            {method: "POST", path: stagedPath, cutPath: platformtest.PathStageFree, hidden: true},
	"start of the server":           {method: "POST", path: "/stream/resume/1", cutPath: platformtest.PathReport, hidden: true, body: platformtest.ReportBody()},
}

// cutHandle ends the handle of a result that is told in a response that is cut.
const cutHandle = "/cut"

// cuts reports whether the response of a server to r is the one that is cut.
func (c cutReader) cuts(s *platformtest.Server, r *http.Request) bool {
	if c.cutService != "" && c.cutService != s.Service {
		return false
	}
	own := r.URL.Path == c.path
	return c.cutPath == "" && own || r.URL.Path == c.cutPath
}

// isStream reports whether the response is a stream.
func (c cutReader) isStream() bool { return strings.HasPrefix(c.path, "/stream/") }

// cutPlan is how servers respond to the next request.
type cutPlan struct {
	mu      sync.Mutex                                          // guards the fields below
	before  string                                              // events of a first response that is broken off after them
	respond func(s *platformtest.Server, w http.ResponseWriter) // nil: in a sound way
	cuts    int                                                 // calls of respond
}

// set plans one response after one that breaks off within the event after those of before, if there are any.
func (c *cutPlan) set(before string, respond func(s *platformtest.Server, w http.ResponseWriter)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.before, c.respond, c.cuts = before, respond, 0
}

// met returns how often the planned response was sent.
func (c *cutPlan) met() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cuts
}

// intercept responds to a request as planned. It returns false if a sound response is due.
func (c *cutPlan) intercept(s *platformtest.Server, w http.ResponseWriter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, respond := c.before, c.respond
	switch {
	case before != "":
		c.before = ""
		s.RespondUntilClose(w, before+"id: 9\nda", false)
	case respond != nil:
		c.respond = nil
		c.cuts++
		respond(s, w)
	default:
		return false
	}
	return true
}

// Guards against an answer told as whole, or results and starts believed, from a response cut at any byte.
func TestResponseCutAnywhereIsNeverToldAsWhole(t *testing.T) {
	t.Parallel() // after the tests that measure the memory of this process
	for name, reader := range cutReaders {
		for way, startHost := range waysToServers {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				c := newCutChecker(g, newTestPlatform(t), reader, startHost)
				if way == "carried" {
					c.reader.stride = max(reader.stride, carriedStride)
				}
				t.Logf("%d responses cut", c.checkAll(g))
			})
		}
	}
}

// waysToServers are the ways in which requests come to servers, with what starts a host that uses them.
var waysToServers = map[string]func(p *testPlatform) *Host{"direct": startSpendingHost, "carried": startCarriedHost}

// carriedStride is the stride of carried responses, which the carrier reads as it does its own.
const carriedStride = 5

// startSpendingHost starts a host whose retries are not limited.
func startSpendingHost(p *testPlatform) *Host {
	return p.startHost("front-1", func(o *Options) { o.Settings.RetrySlack = 100_000 })
}

// startCarriedHost is startSpendingHost for a host that reaches no servers, whose requests another one carries.
func startCarriedHost(p *testPlatform) *Host {
	links := &serverLinks{t: p.t, relays: map[string]*relay.Proxy{}}
	h := p.startHost("front-1", func(o *Options) { o.Settings.RetrySlack, o.DialServer = 100_000, links.dial })
	p.startHost("front-2")
	g := NewWithT(p.t)
	g.Eventually(func() int { return len(h.knownHosts()) }, "20s").Should(Equal(2))
	links.cut(cutResets)
	g.Eventually(func() bool {
		p.send(h, "GET", "/status/1", "")
		return h.reach.CutOff() && h.serverClient.Served()
	}, "20s").Should(BeTrue())
	return h
}

// cutChecker checks what a client is told of responses that are cut.
type cutChecker struct {
	p      *testPlatform
	reader cutReader
	plan   *cutPlan
	send   func() clientResponse
	// wireBytes is the length of the last response that was cut, and headBytes that of its head.
	wireBytes, headBytes int
}

// newCutChecker starts a host that uses a way to servers, and returns what sends a reader's requests to it.
func newCutChecker(g *WithT, p *testPlatform, reader cutReader, startHost func(p *testPlatform) *Host) *cutChecker {
	for _, service := range []string{"ledger", "model", "portal"} {
		p.addServer(service+"-2", service)
	}
	h := startHost(p)
	g.Eventually(func() int { return h.directory.View().Count() }, "10s").Should(Equal(len(p.servers)))
	c := &cutChecker{p: p, reader: reader, plan: &cutPlan{}}
	c.send = func() clientResponse {
		return p.send(h, reader.method, reader.path, "x", func(q *platformtest.Request) {
			q.LastEventID, q.StageItems = reader.lastEventID, []int{1, 1}
		})
	}
	c.observeServers()
	return c
}

// observeServers makes all servers respond as planned. They are asked for their starts before each stream.
func (c *cutChecker) observeServers() {
	for _, s := range c.p.servers {
		s.SetObserver(func(w http.ResponseWriter, r *http.Request) bool {
			if c.reader.cutPath == platformtest.PathReport && r.URL.Path != c.reader.cutPath {
				w.Header().Set("Connection", "close")
			}
			return c.reader.cuts(s, r) && c.plan.intercept(s, w)
		})
	}
}

// checkAll cuts responses of each framing at each byte, or in strides, on new connections and used ones, by their end
// in order and by resets. It returns their number.
func (c *cutChecker) checkAll(g *WithT) (cuts int) {
	for name, f := range cutFramings {
		for at := 0; !c.check(g, name, f, at); at = c.next(at) {
			cuts++
		}
	}
	return cuts
}

// next returns the position of the cut after the one at at: strides, and each byte around the end of the head and
// before that of the response.
func (c *cutChecker) next(at int) int {
	stride, end, last := max(c.reader.stride, 1), c.headBytes, c.wireBytes-len("0\r\n")
	switch {
	case at < end-len("\r\n\r\n"):
		return min(at+stride, end-len("\r\n\r\n"))
	case at <= end || at >= last:
		return at + 1
	}
	return min(at+stride, last)
}

// resetEvery is the number of cuts of which one is a reset.
const resetEvery = 7

// check cuts a response after at bytes. It returns true if that is the whole one.
func (c *cutChecker) check(g *WithT, name string, f cutFraming, at int) bool {
	if at%2 == 1 { // the cut comes on a used connection
		c.plan.set("", nil)
		g.Expect(c.send().status).To(Equal(http.StatusOK))
	}
	var wire, body string
	var reset bool
	c.plan.set(c.reader.before, func(s *platformtest.Server, w http.ResponseWriter) {
		s.RespondRaw(w, func(lines string) (string, bool) {
			body = strings.ReplaceAll(c.reader.body, "ADDRESS", s.Address())
			wire, c.headBytes = f.wire(lines, body)
			c.wireBytes = len(wire)
			at = min(at, len(wire))
			reset = at%resetEvery == 0 && at < len(wire)
			return wire[:at], reset
		})
	})
	r := c.send()
	g.Eventually(c.plan.met, "5s", "1ms").Should(Equal(1))
	where := fmt.Sprintf("%s, reset: %t, cut after %q", name, reset, wire[:at])
	whole := c.reader.before + body
	switch {
	case c.reader.hidden:
		c.checkHidden(g, r, at == len(wire), where)
	case at == len(wire):
		g.Expect(r.err).NotTo(HaveOccurred(), where)
		g.Expect(r.body).To(Equal(whole), where)
	case r.err != nil:
		g.Expect(whole).To(HavePrefix(r.body), where)
	case r.status != http.StatusOK:
	case !reset && at >= c.headBytes && f.mayEndAt(c.reader.isStream(), body, at-c.headBytes):
		g.Expect(r.body).To(Equal(c.reader.before+body[:at-c.headBytes]), where)
	default:
		g.Expect(r.body).To(Or(Equal(whole), HavePrefix("answer of ")), "%s: %v", where, r.header)
	}
	return at == len(wire)
}

// checkHidden checks the answer to a client that gets no part of the response that is cut: it is whole, and made with
// nothing that is told only there.
func (c *cutChecker) checkHidden(g *WithT, r clientResponse, whole bool, where string) {
	if whole || c.reader.cutPath == platformtest.PathStageFree {
		g.Expect(r.status).To(Equal(http.StatusOK), where)
	}
	if r.status != http.StatusOK {
		return
	}
	g.Expect(r.err).NotTo(HaveOccurred(), where)
	g.Expect(r.body).To(Equal(firstEvents+lastEvents), where)
	used := slices.ContainsFunc(c.p.runs("model"), func(run platformtest.ExecutedRequest) bool {
		return run.AttemptID() == platformtest.AttemptID(r.header) && strings.Contains(fmt.Sprint(run.Header), cutHandle)
	})
	g.Expect(used).To(Equal(whole && c.reader.cutPath == platformtest.PathStageRun), where)
}

// Guards against telling a client "not run", or running its request again, on the word of a head that is cut.
func TestCutRefusalProvesNothing(t *testing.T) {
	t.Parallel()
	for way, startHost := range waysToServers {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			p := newTestPlatform(t)
			p.addServer("ledger-2", "ledger")
			h := startHost(p)
			g.Eventually(func() int { return h.directory.View().Count() }, "10s").Should(Equal(len(p.servers)))
			c := &cutChecker{p: p, reader: cutReaders["unsafe"], plan: &cutPlan{}}
			c.observeServers()
			for at, whole := 0, false; !whole; at++ {
				var wire string
				c.plan.set("", func(s *platformtest.Server, w http.ResponseWriter) {
					s.RespondRaw(w, func(lines string) (string, bool) {
						wire = "HTTP/1.1 503 Service Unavailable\r\n" + platformtest.RefusalLine + lines + "Content-Length: 0\r\n\r\n"
						whole = at == len(wire)
						return wire[:at], false
					})
				})
				ran := len(p.runs("ledger"))
				r := p.send(h, "POST", c.reader.path, "x")
				g.Expect(c.plan.met()).To(Equal(1))
				if whole {
					g.Expect(r.status).To(Equal(http.StatusOK))
					continue
				}
				g.Expect(r.status).To(Equal(http.StatusBadGateway), "cut after %q", wire[:at])
				g.Expect(r.body).To(ContainSubstring(`"ran":"unknown"`))
				g.Expect(p.runs("ledger")).To(HaveLen(ran), "cut after %q", wire[:at])
			}
		})
	}
}
