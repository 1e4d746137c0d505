// Package headserver has heads of responses that are none of HTTP, and odd ones that are, for tests of readers of
// responses.
package headserver

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"bilberrydale/internal/rawserver"
)

// Head is the start of a response: its status line, header lines, and what comes before them.
type Head struct {
	start       string
	undelimited bool // nothing marks the end of the body
}

// Broken are the starts of heads that are none of HTTP, by what is wrong.
var Broken = map[string]Head{
	"status 000":                         {start: "HTTP/1.1 000 Trouble\r\n"},
	"status 000 without a length":        {start: "HTTP/1.1 000 Trouble\r\n", undelimited: true},
	"status 000 before a sound response": {start: "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\n"},
	"status 000 of no length before one": {start: "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n"},
	"status 099":                         {start: "HTTP/1.1 099 Trouble\r\n\r\nHTTP/1.1 200 OK\r\n"},
	"status with a sign":                 {start: "HTTP/1.1 +20 OK\r\n\r\nHTTP/1.1 200 OK\r\n"},
	"status of four digits":              {start: "HTTP/1.1 2000 OK\r\n"},
	"blank in a name":                    {start: "HTTP/1.1 200 OK\r\nX Note: a\r\n"},
	"blank after a name":                 {start: "HTTP/1.1 200 OK\r\nX-Note : a\r\n"},
	"blank after the name of the length": {start: "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n", undelimited: true},
	"blank after that of the coding":     {start: "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n"},
	"blank in a name of an interim one":  {start: "HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\nHTTP/1.1 200 OK\r\n"},
	"blank in a name of status 100":      {start: "HTTP/1.1 100 Continue\r\nX Note: a\r\n\r\nHTTP/1.1 200 OK\r\n"},
	"control byte in a name":             {start: "HTTP/1.1 200 OK\r\nX\x01Note: a\r\n"},
	"NUL in a name":                      {start: "HTTP/1.1 200 OK\r\nX\x00Note: a\r\n"},
	"tab in a name":                      {start: "HTTP/1.1 200 OK\r\nX\tNote: a\r\n"},
	"tab after a name":                   {start: "HTTP/1.1 200 OK\r\nX-Note\t: a\r\n"},
	"carriage return in a name":          {start: "HTTP/1.1 200 OK\r\nX\rNote: a\r\n"},
	"delete in a name":                   {start: "HTTP/1.1 200 OK\r\nX\x7fNote: a\r\n"},
	"byte over 127 in a name":            {start: "HTTP/1.1 200 OK\r\nX\xe9Note: a\r\n"},
	"delimiter in a name":                {start: "HTTP/1.1 200 OK\r\nX(Note): a\r\n"},
	"no name":                            {start: "HTTP/1.1 200 OK\r\n: a\r\n"},
	"no colon":                           {start: "HTTP/1.1 200 OK\r\nX-Note\r\n"},
	"NUL in a value":                     {start: "HTTP/1.1 200 OK\r\nX-Note: a\x00b\r\n"},
	"control byte in a value":            {start: "HTTP/1.1 200 OK\r\nX-Note: a\x01b\r\n"},
	"carriage return in a value":         {start: "HTTP/1.1 200 OK\r\nX-Note: a\rb\r\n"},
	"another protocol":                   {start: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n", undelimited: true},
	"two lengths":                        {start: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"},
}

// Sound are the starts of odd heads that are sound, by what is odd.
var Sound = map[string]Head{
	"interim responses": {start: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n"},
	"no reason":         {start: "HTTP/1.1 200\r\n"},
	"bytes of a name":   {start: "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0123456789abcxyzABCXYZ: a\r\n"},
	"one byte for each": {start: "HTTP/1.1 200 OK\r\n!: a\r\n~: b\r\n0: c\r\n"},
	"odd values":        {start: "HTTP/1.1 200 OK\r\nX-Empty:\r\nX-Tab:\ta\tb\t\r\nX-Bytes: \xe9\xff\r\nX-Colon:a: b : c\r\n"},
}

// callTime is more than a call that meets a head takes.
const callTime = 5 * time.Second

// Context returns the context of a call that meets a head: a reader that takes it for sound may wait for its end.
func Context(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), callTime)
	t.Cleanup(cancel)
	return ctx
}

// Response returns a response with the head, further header lines and a body.
func (h Head) Response(lines, body string) string {
	if !h.undelimited {
		lines += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return h.start + lines + "\r\n" + body
}

// Serve starts a server, which answers each request with the bytes that respond returns and keeps the connection
// open. It returns its host:port.
func Serve(t *testing.T, respond func(*http.Request) string) (address string) {
	t.Helper()
	return rawserver.Start(t, func(r *http.Request) (string, rawserver.End) { return respond(r), rawserver.KeepOpen })
}
