// Package load generates open-loop traffic for entry hosts on this machine.
// Requests arrive by a seeded Poisson process, whether or not earlier ones have
// completed, and latency counts from the scheduled arrival. A slow system therefore
// can't hide queueing delay by slowing down the generator (coordinated omission).
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

// RequestKind is one kind of request in the mix.
type RequestKind struct {
	Path    string
	Weight  float64 // arrivals in proportion to the sum of all weights
	Stream  bool    // request a streamed response
	Account string  // client account
	Body    string  // JSON
}

// Options configure one run.
type Options struct {
	Targets     []string      // callers' addresses, host:port, of entry hosts on loopback; used in turn
	Rate        float64       // requests a second for all targets together
	Duration    time.Duration // of the arrivals; Run waits for requests in flight after it
	Seed        uint64        // determines the arrivals and their kinds
	Mix         []RequestKind
	Timeout     time.Duration // of one request
	MaxInFlight int           // concurrent requests; arrivals above this limit are not sent
}

// Result holds the counts and latencies of one kind of request. Latencies are in
// milliseconds, from the scheduled arrival to the complete response or to its
// first byte. Only complete responses count in them.
type Result struct {
	Path         string         `json:"path"`
	Sent         int            `json:"sent"`
	Completed    int            `json:"whole"`   // complete responses
	Unsent       int            `json:"unsent"`  // arrivals above Options.MaxInFlight
	Failures     map[string]int `json:"refused"` // requests without a complete response, by kind of error
	P50          float64        `json:"p50_ms"`
	P99          float64        `json:"p99_ms"`
	Max          float64        `json:"max_ms"`
	FirstByteP50 float64        `json:"first_byte_p50_ms"`
	FirstByteP99 float64        `json:"first_byte_p99_ms"`
}

// ErrNotLoopback is returned for a target that is not on this machine.
var ErrNotLoopback = errors.New("load: target is not a loopback address")

const (
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond) // longer latencies are not recorded
	significantDigits = 3                                          // of the histograms
	maxResponseBytes  = 64 << 20                                   // of a response; the rest is not read
)

// recorder collects the result of one kind of request.
type recorder struct {
	mu                 sync.Mutex // guards the fields below
	result             Result
	latency, firstByte *hdrhistogram.Histogram // microseconds
}

// Run sends the traffic and returns one result for each kind of request, in the
// order of the mix. It returns an error only if the options are invalid; failed
// requests are counted in the results. Canceling ctx ends the run early.
func Run(ctx context.Context, o Options) ([]Result, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	recorders := make([]*recorder, len(o.Mix))
	for i, m := range o.Mix {
		recorders[i] = &recorder{
			result:  Result{Path: m.Path, Failures: map[string]int{}},
			latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits), firstByte: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		}
	}
	o.generate(ctx, recorders)
	results := make([]Result, len(recorders))
	for i, r := range recorders {
		results[i] = r.summarize()
	}
	return results, nil
}

// validate returns an error for missing options and for targets that are not on this
// machine (ErrNotLoopback).
func (o *Options) validate() error {
	if len(o.Targets) == 0 || len(o.Mix) == 0 || o.Rate <= 0 {
		return errors.New("load: targets, a mix of requests and a positive rate are required")
	}
	for _, t := range o.Targets {
		host, _, err := net.SplitHostPort(t)
		if err != nil {
			return fmt.Errorf("load: invalid target: %w", err)
		}
		if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("%w: %s", ErrNotLoopback, t)
		}
	}
	return nil
}

// generate draws each arrival from the seed and sends a request when it is due. It
// returns when all requests have ended.
func (o *Options) generate(ctx context.Context, recorders []*recorder) {
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	client := &http.Client{Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: o.MaxInFlight}}
	defer client.CloseIdleConnections()
	slots := make(chan struct{}, o.MaxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	offset := time.Duration(0)
	for n := 0; ; n++ {
		offset += time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second))
		kind := o.pickKind(rng.Float64())
		due := start.Add(offset)
		if offset > o.Duration || !waitUntil(ctx, due) {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			recorders[kind].recordUnsent()
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			o.send(ctx, client, o.Targets[n%len(o.Targets)], o.Mix[kind], due, recorders[kind])
		}()
	}
}

// waitUntil waits until due and reports false if ctx ended before.
func waitUntil(ctx context.Context, due time.Time) bool {
	select {
	case <-time.After(time.Until(due)):
		return true
	case <-ctx.Done():
		return false
	}
}

// pickKind maps a number in [0,1) to an index of the mix by weight.
func (o *Options) pickKind(x float64) int {
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

// send sends one request and records how it ended.
func (o *Options) send(ctx context.Context, client *http.Client, target string, m RequestKind, due time.Time, rec *recorder) {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+m.Path, strings.NewReader(m.Body))
	if err != nil {
		rec.recordResponse("bad_path", due, time.Time{})
		return
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(entry.DefaultHeaders().Account, m.Account)
	if m.Stream {
		req.Header.Set("Accept", entry.StreamMediaType)
	}
	resp, err := client.Do(req)
	if err != nil {
		rec.recordResponse("no_answer", due, time.Time{})
		return
	}
	defer resp.Body.Close()
	first := time.Now()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		rec.recordResponse("cut", due, first)
		return
	}
	rec.recordResponse(errorKind(resp, body), due, first)
}

// errorKind returns the kind of error of a response, or an empty string if the
// response is complete. The kind of a stream without its final chunk is "cut".
func errorKind(resp *http.Response, body []byte) string {
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

// recordUnsent counts an arrival above Options.MaxInFlight.
func (r *recorder) recordUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Unsent++
}

// recordResponse counts a request that was sent. Kind is the kind of error, empty for
// a complete response, whose latencies are recorded: due is the scheduled arrival,
// first the arrival of the response headers.
func (r *recorder) recordResponse(kind string, due, first time.Time) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	if kind != "" {
		r.result.Failures[kind]++
		return
	}
	r.result.Completed++
	_ = r.latency.RecordValue(now.Sub(due).Microseconds())
	_ = r.firstByte.RecordValue(first.Sub(due).Microseconds())
}

const microsPerMilli = 1000

// summarize returns the result with its latencies.
func (r *recorder) summarize() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	ms := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / microsPerMilli
	}
	res := r.result
	res.P50, res.P99, res.Max = ms(r.latency, 50), ms(r.latency, 99), float64(r.latency.Max())/microsPerMilli
	res.FirstByteP50, res.FirstByteP99 = ms(r.firstByte, 50), ms(r.firstByte, 99)
	return res
}
