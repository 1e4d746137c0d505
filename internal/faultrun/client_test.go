package faultrun

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"bilberrydale/connection/backend"
	"bilberrydale/request/entry"
)

var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// post sends a body to host i and returns the response with its body. The error
// is that of the connection; the response is not nil if its header had arrived.
func (env *environment) post(ctx context.Context, i int, path, key string, body []byte, stream bool) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, env.host(i).http.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("X-Client-Account", "depot")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if stream {
		req.Header.Set("Accept", entry.StreamMediaType)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, data, err
}

// mintTicket requests a ticket from host i. It returns "" if the host did not
// issue one.
func (env *environment) mintTicket(i int) string {
	_, data, err := env.post(context.Background(), i, entry.TicketPath, "", nil, false)
	if err != nil {
		return ""
	}
	var t entry.Ticket
	_ = json.Unmarshal(data, &t)
	return t.Ticket
}

// parseStream parses a streamed response. Only a stream with the final mark
// counts as complete.
func parseStream(sent string, data []byte) Response {
	var text []byte
	dec := json.NewDecoder(bytes.NewReader(data))
	for {
		var line struct {
			backend.Chunk
			Problem *entry.Problem `json:"problem"`
		}
		if err := dec.Decode(&line); err != nil {
			return Response{Kind: "no final mark", Ran: RanUnknown}
		}
		if line.Problem != nil {
			return Response{Kind: string(line.Problem.Kind), Ran: Ran(line.Problem.Ran)}
		}
		if line.Offset != int64(len(text)) {
			return Response{Whole: true, Token: sent} // a gap in a stream without an error
		}
		text = append(text, line.Data...)
		if line.Final {
			return checkBody(sent, string(text))
		}
	}
}
