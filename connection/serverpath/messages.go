package serverpath

import (
	"net/http"

	"bilberrydale/connection/upstream"
	"bilberrydale/process/peer"
)

// Methods of carriers.
const (
	methodCheck peer.Method = "serverpath.check"
	methodSend  peer.Method = "serverpath.send"
	// methodSendToProcess is methodSend for one process of a server. Older builds refuse it.
	methodSendToProcess peer.Method = "serverpath.sendtoprocess"
	methodRead          peer.Method = "serverpath.read"
	methodCancel        peer.Method = "serverpath.cancel"
	methodProbe         peer.Method = "serverpath.probe"
	methodProbeProcess  peer.Method = "serverpath.probeprocess"
)

// outcome is what became of a request that a carrier was asked to send.
type outcome int

const (
	// declined: the carrier cannot reach servers itself, is stopping or has enough to do.
	// Nothing was sent.
	declined outcome = iota
	notSent          // the server accepted no connection
	failed           // the server may have received the request
	answered         // the headers of the response have arrived
)

// checkResponse is the response to methodCheck, which has no content.
type checkResponse struct {
	Usable bool // the carrier sends requests for other hosts
}

// sendRequest asks a carrier to send a request to a server.
type sendRequest struct {
	ID             uint64 // chosen by the caller; unique for its process
	Address        string // of the server, host:port
	TimeoutMillis  int64  // of the whole exchange
	Method         string
	URI            string
	Host           string
	Header         http.Header
	Body           []byte
	HasBody        bool
	DropWhenLeaves bool // decline if the server leaves: the request is new work
}

// sendToProcessRequest is a sendRequest for the process of a server that started at a time;
// see upstream.Request.StartedUnixMS.
type sendToProcessRequest struct {
	Request       sendRequest
	StartedUnixMS int64
}

// sendResponse is the response to a sendRequest. Fields from Status on are valid if Outcome is
// answered. A Status of 503 with the Outcome declined says that the server wants no requests of the
// carrier now, and Header for how long.
type sendResponse struct {
	Outcome       outcome
	Refused       bool   // the server refused the connection
	ServerBroke   bool   // the server's end closed or reset the connection
	Error         string // text of the cause; empty if answered
	ReusedConn    bool
	Status        int
	Header        http.Header
	BodyEnd       upstream.BodyEnd
	ContentLength int64
	// First is the first part of the body, which may be empty.
	First readResponse
}

// readRequest asks for the next part of a response's body.
type readRequest struct {
	ID     uint64
	Offset int64 // bytes of the body that the caller has received
}

// readResponse is a part of a body.
type readResponse struct {
	Data        []byte
	Ended       bool   // no further part follows
	Error       string // why the body ended early; empty: it was read to its end
	ServerBroke bool   // the server's end closed or reset the connection early
}

// cancelRequest ends an exchange early.
type cancelRequest struct{ ID uint64 }

// probeRequest asks whether a server accepts a connection from the carrier.
type probeRequest struct {
	Address string // host:port
}

// probeProcessRequest asks whether the process of a server that started at a time responds to the
// carrier. The response is a bool; false proves nothing.
type probeProcessRequest struct {
	Address       string      // host:port
	Header        http.Header // by which the server tells whether it is meant
	StartedUnixMS int64
}

// probeResponse is the response to a probeRequest.
type probeResponse struct {
	Usable   bool // the carrier reaches servers itself; else nothing else is valid
	Accepted bool
	Refused  bool // the server refused the connection; if neither, it did not respond
}
