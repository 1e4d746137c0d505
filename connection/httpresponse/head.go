package httpresponse

import (
	"fmt"
	"net/http"
)

// minStatus is the smallest status of a response, an interim one included (RFC 9110, section 15).
const minStatus = 100

// CheckHead returns an error unless the head of a response, as net/http has read it, is one of HTTP. The connection
// must not be used any more then: it is not known where the response ends.
func CheckHead(r *http.Response) error {
	if r.StatusCode < minStatus {
		return fmt.Errorf("the head of the answer has status %q", r.Status)
	}
	return nil
}
