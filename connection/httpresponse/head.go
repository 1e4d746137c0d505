package httpresponse

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// minStatus is the smallest status of a response, an interim one included (RFC 9110, section 15).
const minStatus = 100

// errOtherProtocol means that a server goes on in another protocol. net/http would hand the connection over: reads of
// the body end with it only, not with the context of the request.
var errOtherProtocol = errors.New("the server switches to another protocol")

// Check returns an error unless the head of a response, as net/http has read it, is one of HTTP. The connection must
// not be used any more then: it is not known where the response ends. Otherwise the end of r.Body is checked: it is an
// error if the trailers before it are none of HTTP.
func Check(r *http.Response) error {
	if err := CheckHead(r.StatusCode, r.Header); err != nil {
		return err
	}
	r.Body = &body{r.Body, r}
	return nil
}

// CheckHead returns an error unless a status and fields are those of a head of HTTP.
func CheckHead(status int, fields http.Header) error {
	if status < minStatus {
		return fmt.Errorf("the head of the answer has status %03d", status)
	}
	if status == http.StatusSwitchingProtocols {
		return errOtherProtocol // no request asks for one
	}
	return CheckNames(fields)
}

// CheckNames returns an error unless all names of fields are tokens (RFC 9110, section 5.1). net/http lets blanks
// pass: two readers may take such a line for different fields, or one for none.
func CheckNames(fields map[string][]string) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("the answer has a field of the name %.64q", name)
		}
	}
	return nil
}

// body is the body of a response. Its end is checked.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF { // not one that is the cause of another error
		return n, err
	}
	if err := CheckNames(b.response.Trailer); err != nil {
		return n, err
	}
	return n, io.EOF
}
