package world

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Call is a request of a client.
type Call struct {
	Method    string // empty: POST
	Host      string // name in the route
	Path      string
	Key       string
	Deadline  time.Duration
	Pieces    string // Pieces header; empty: none
	Body      string
	Tokens    string // Token-Counts
	Prefix    string // Prompt-Prefix
	FrontAddr string
	Sending   func(id string) // called before it is sent; nil: nothing
}

// Answer is what a client has got.
type Answer struct {
	ID     string
	Status int // 0: no answer
	Stamp  string
	Body   string
	Events int
	Whole  bool // it ended as complete
	Err    error
}

// Clients keeps connections to the fronts open.
var clients = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 20 * time.Second}}

// Do sends a request of a client with a new id and reads its answer.
func (w *World) Do(c Call) Answer {
	a := Answer{ID: randomID(8)}
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, cmp.Or(c.Method, http.MethodPost), "http://"+c.FrontAddr+c.Path, io.NopCloser(strings.NewReader(c.Body)))
	if err != nil {
		a.Err = err
		return a
	}
	r.ContentLength = int64(len(c.Body))
	if c.Body == "" {
		r.Body = http.NoBody
	}
	r.Host = c.Host
	for name, value := range map[string]string{
		Wire.AttemptID: a.ID, "Model": model(c), Wire.TokenCounts: c.Tokens, Wire.PromptPrefix: c.Prefix, Wire.Pieces: c.Pieces, Wire.PieceKey: pieceKey(c),
		"Authorization": bearer(c.Key), Wire.DeadlineMS: fmt.Sprint(c.Deadline.Milliseconds()),
	} {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	if c.Sending != nil {
		c.Sending(a.ID)
	}
	w.Record.Note("sent", "request %s to %s%s at %s", a.ID, c.Host, c.Path, c.FrontAddr)
	w.read(&a, r)
	w.Record.Note("answer", "request %s: status %d, stamp %q, %d events, whole %t, %v", a.ID, a.Status, a.Stamp, a.Events, a.Whole, a.Err)
	return a
}

// model returns the Model of a request to a model.
func model(c Call) string {
	if c.Tokens == "" {
		return ""
	}
	return "m"
}

// pieceKey returns the Piece-Key of a request that has pieces.
func pieceKey(c Call) string {
	if c.Pieces == "" {
		return ""
	}
	return randomID(6)
}

// bearer returns the Authorization header for a key; empty: none.
func bearer(key string) string {
	if key == "" {
		return ""
	}
	return "Bearer " + key
}

// read sends the request and reads the answer into a.
func (w *World) read(a *Answer, r *http.Request) {
	resp, err := clients.Do(r)
	if err != nil {
		a.Err = err
		return
	}
	defer resp.Body.Close()
	a.Status, a.Stamp = resp.StatusCode, resp.Header.Get(Wire.Stamp)
	var text strings.Builder
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		text.WriteString(line)
		if strings.HasPrefix(line, "data:") {
			a.Events++
		}
		if err == io.EOF {
			a.Whole = true
			break
		}
		if err != nil {
			a.Err = err
			break
		}
	}
	a.Body = text.String()
}
