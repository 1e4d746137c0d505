// Package load sends open-loop traffic to entry hosts on this machine: requests
// arrive by a seeded Poisson process whether or not earlier ones were answered,
// and latency counts from the planned arrival, so that a slow system cannot
// hide its queue by slowing the generator down.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bilberrydale/connection/backend"
	"bilberrydale/request/entry"
)

// Request is one kind of request in the mix.
type RequestKind struct {
	Path    string
	Weight  float64 // share of the arrivals, against the other weights
	Stream  bool
	Account string
	Body    string
}

// Options describe one run.
type Options struct {
	Targets     []string // callers' addresses of entry hosts on loopback
	Rate        float64  // requests a second for all targets together
	Duration    time.Duration
	Seed        uint64
	Mix         []RequestKind
	Timeout     time.Duration // of one request
	MaxInFlight int           // requests at once; arrivals above are not sent
}

// Line is the result of one kind of request. Latencies are in milliseconds
// from the planned arrival to the whole answer.
type Result struct {
	Path         string         `json:"path"`
	Sent         int            `json:"sent"`
	Completed    int            `json:"whole"`   // whole answers
	Unsent       int            `json:"unsent"`  // arrivals over Options.InFlight
	Failures     map[string]int `json:"refused"` // other answers by error kind
	P50          float64        `json:"p50_ms"`
	P99          float64        `json:"p99_ms"`
	Max          float64        `json:"max_ms"`
	FirstByteP50 float64        `json:"first_byte_p50_ms"`
	FirstByteP99 float64        `json:"first_byte_p99_ms"`
}

// ErrNotLoopback: a target is not on this machine.
var ErrNotLoopback = errors.New("load: only loopback addresses may be loaded")

const (
	maxLatency = int64(10 * time.Minute / time.Microsecond)
	digits     = 3
	maxAnswer  = 64 << 20
)

type recorder struct {
	mu           sync.Mutex
	line         Result
	whole, first *hdrhistogram.Histogram // microseconds
}

// Run sends the traffic and returns one line for each kind of request.
func Run(ctx context.Context, o Options) ([]Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	recs := make([]*recorder, len(o.Mix))
	for i, m := range o.Mix {
		recs[i] = &recorder{
			line:  Result{Path: m.Path, Failures: map[string]int{}},
			whole: hdrhistogram.New(1, maxLatency, digits), first: hdrhistogram.New(1, maxLatency, digits),
		}
	}
	o.generate(ctx, recs)
	lines := make([]Result, len(recs))
	for i, r := range recs {
		lines[i] = r.finish()
	}
	return lines, nil
}

func (o *Options) check() error {
	if len(o.Targets) == 0 || len(o.Mix) == 0 || o.Rate <= 0 {
		return errors.New("load: targets, requests and a positive rate are needed")
	}
	for _, t := range o.Targets {
		host, _, err := net.SplitHostPort(t)
		if err != nil {
			return fmt.Errorf("load: %w", err)
		}
		if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("%w: %s", ErrNotLoopback, t)
		}
	}
	return nil
}

// generate plans each arrival from the seed and sends it when it is due.
func (o *Options) generate(ctx context.Context, recs []*recorder) {
	rnd := rand.New(rand.NewPCG(o.Seed, 1))
	client := &http.Client{Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: o.MaxInFlight}}
	defer client.CloseIdleConnections()
	slots := make(chan struct{}, o.MaxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	offset := time.Duration(0)
	for n := 0; ; n++ {
		offset += time.Duration(rnd.ExpFloat64() / o.Rate * float64(time.Second))
		kind := o.choose(rnd.Float64())
		due := start.Add(offset)
		if offset > o.Duration || !waitUntil(ctx, due) {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			recs[kind].unsent()
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			o.send(ctx, client, o.Targets[n%len(o.Targets)], o.Mix[kind], due, recs[kind])
		}()
	}
}

func waitUntil(ctx context.Context, due time.Time) bool {
	select {
	case <-time.After(time.Until(due)):
		return true
	case <-ctx.Done():
		return false
	}
}

// choose maps a number in [0,1) to an index of the mix by weight.
func (o *Options) choose(x float64) int {
	total := 0.0
	for _, m := range o.Mix {
		total += m.Weight
	}
	x *= total
	for i, m := range o.Mix {
		if x -= m.Weight; x < 0 {
			return i
		}
	}
	return len(o.Mix) - 1
}

func (o *Options) send(ctx context.Context, client *http.Client, target string, m RequestKind, due time.Time, rec *recorder) {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+m.Path, strings.NewReader(m.Body))
	if err != nil {
		rec.done("bad_path", due, time.Time{})
		return
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(entry.DefaultHeaders().Account, m.Account)
	if m.Stream {
		req.Header.Set("Accept", entry.StreamMediaType)
	}
	resp, err := client.Do(req)
	if err != nil {
		rec.done("no_answer", due, time.Time{})
		return
	}
	defer resp.Body.Close()
	first := time.Now()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		rec.done("cut", due, first)
		return
	}
	rec.done(verdict(resp, body), due, first)
}

// verdict is empty for a whole answer, else the error kind.
func verdict(resp *http.Response, body []byte) string {
	if resp.StatusCode != http.StatusOK {
		var p entry.Problem
		if json.Unmarshal(body, &p) != nil || p.Kind == "" {
			return fmt.Sprintf("status_%d", resp.StatusCode)
		}
		return string(p.Kind)
	}
	if resp.Header.Get("Content-Type") != entry.StreamMediaType {
		return ""
	}
	lines := bytes.Split(bytes.TrimSpace(body), []byte("\n"))
	var last backend.Chunk
	if json.Unmarshal(lines[len(lines)-1], &last) != nil || !last.Final {
		return "cut"
	}
	return ""
}

func (r *recorder) unsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line.Unsent++
}

func (r *recorder) done(kind string, due, first time.Time) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line.Sent++
	if kind != "" {
		r.line.Failures[kind]++
		return
	}
	r.line.Completed++
	_ = r.whole.RecordValue(now.Sub(due).Microseconds())
	_ = r.first.RecordValue(first.Sub(due).Microseconds())
}

const microsPerMilli = 1000

func (r *recorder) finish() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	ms := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / microsPerMilli
	}
	l := r.line
	l.P50, l.P99, l.Max = ms(r.whole, 50), ms(r.whole, 99), float64(r.whole.Max())/microsPerMilli
	l.FirstByteP50, l.FirstByteP99 = ms(r.first, 50), ms(r.first, 99)
	return l
}
