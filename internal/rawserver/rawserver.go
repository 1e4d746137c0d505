// Package rawserver serves responses that tests write byte by byte, to tests of readers of responses.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// End is what becomes of a connection after a response.
type End int

// Values of End.
const (
	KeepOpen End = iota
	Close        // in order
	Reset
)

// Start starts a server, which sends the bytes that respond returns for each request it has read whole. It returns
// its host:port.
func Start(t *testing.T, respond func(*http.Request) (wire string, end End)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn, respond)
		}
	}()
	return listener.Addr().String()
}

// serve responds to the requests of a connection up to one after which it ends.
func serve(conn net.Conn, respond func(*http.Request) (wire string, end End)) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		wire, end := respond(req)
		_, _ = io.WriteString(conn, wire) // the client may have gone
		if end == Reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		if end != KeepOpen {
			return
		}
	}
}
