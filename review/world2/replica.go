package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in for a replica that speaks HTTP/1.1 as text, so that it sees each request as it was sent.
type replica struct {
	id, service string
	record      *recorder
	listener    net.Listener
	// answer answers a request that is for this replica; nil: a short body with a length.
	answer func(conn net.Conn, q *received) (keep bool)
	mu     sync.Mutex
	runs   []received
	born   int64
}

// received is a request as a replica got it.
type received struct {
	method, target string
	header         textproto.MIMEHeader
	body           string
	at             time.Time
}

// startReplica starts a replica on a free loopback address.
func startReplica(id, service string, record *recorder) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &replica{id: id, service: service, record: record, listener: l, born: bornMS}
	go p.serve()
	return p, nil
}

// address returns the replica's address (host:port).
func (p *replica) address() string { return p.listener.Addr().String() }

// serve accepts connections until the listener is closed.
func (p *replica) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serveConn(conn)
	}
}

// serveConn answers the requests of a connection.
func (p *replica) serveConn(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		q, err := readRequest(r)
		if err != nil {
			return
		}
		if !p.handle(conn, q) {
			return
		}
	}
}

// readRequest reads a request with a body of a stated length.
func readRequest(r *bufio.Reader) (*received, error) {
	t := textproto.NewReader(r)
	line, err := t.ReadLine()
	if err != nil {
		return nil, err
	}
	parts := strings.SplitN(line, " ", 3)
	if len(parts) != 3 {
		return nil, fmt.Errorf("request line %q", line)
	}
	header, err := t.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	n, _ := strconv.Atoi(header.Get("Content-Length"))
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	return &received{method: parts[0], target: parts[1], header: header, body: string(body), at: time.Now()}, nil
}

// handle answers one request and reports whether the connection stays open.
func (p *replica) handle(conn net.Conn, q *received) bool {
	id := q.header.Get(wire("{attempt}"))
	switch {
	case q.header.Get(wire("{expect}")) != "" && q.header.Get(wire("{expect}")) != p.id:
		return p.reply(conn, http.StatusMisdirectedRequest, id, "{notrun}: 1\r\nInstance-Id: "+p.id+"\r\n", "")
	case q.target == "/report":
		return p.reply(conn, http.StatusOK, "", "Content-Type: application/json\r\n", fmt.Sprintf(`{"stage":"both","models":[],"busy":false,"{beat}":1,"waiting":0,"running":0,"kv_used":0,"kv_total":90000,"handles":0,"{free}":64,"{started}":%d}`, p.born))
	case q.target == "/health":
		return p.reply(conn, http.StatusOK, "", "{server}: "+p.id+"\r\n", "")
	case q.target == wire("{run}"):
		return p.stageRun(conn, q)
	case q.target == wire("{release}"):
		return p.reply(conn, http.StatusOK, "", "", "")
	}
	p.mu.Lock()
	p.runs = append(p.runs, *q)
	p.mu.Unlock()
	if p.answer != nil {
		return p.answer(conn, q)
	}
	time.Sleep(15 * time.Millisecond)
	return p.reply(conn, http.StatusOK, id, p.stamp(id), "done by "+p.id)
}

// stamp returns the header line of the replica's signature.
func (p *replica) stamp(id string) string { return "{signature}: " + p.id + "." + id + "\r\n" }

// reply writes an answer with a length. It returns true, as the connection stays open.
func (p *replica) reply(conn net.Conn, status int, id, lines, body string) bool {
	if id != "" {
		lines = "{attempt}: " + id + "\r\n" + lines
	}
	_, err := io.WriteString(conn, wire(fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), lines, len(wire(body)), body)))
	return err == nil
}

// stageCallTime is the time of a call to a replica of a stage.
const stageCallTime = 20 * time.Millisecond

// stageRun makes the pieces of a call.
func (p *replica) stageRun(conn net.Conn, q *received) bool {
	var call struct{ Items []json.RawMessage }
	if err := json.Unmarshal([]byte(q.body), &call); err != nil {
		return p.reply(conn, http.StatusBadRequest, "", "{notrun}: 1\r\n", "")
	}
	time.Sleep(stageCallTime)
	var items []string
	p.mu.Lock()
	for range call.Items {
		p.runs = append(p.runs, *q)
		items = append(items, fmt.Sprintf(`{"handle":"%s/%08x"}`, p.address(), len(p.runs)))
	}
	p.mu.Unlock()
	return p.reply(conn, http.StatusOK, "", "Content-Type: application/json\r\n", `{"items":[`+strings.Join(items, ",")+`]}`)
}

// ran returns the requests that the replica has run.
func (p *replica) ran() []received {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]received(nil), p.runs...)
}
