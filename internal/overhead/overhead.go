// Package overhead measures the latency and allocations that an entry host adds to
// a call of a backend server. One process alternates between direct calls of the
// server and calls through an entry host, so that both run under the same
// conditions.
package overhead

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bilberrydale/connection/backend"
	"bilberrydale/entryhost"
	"bilberrydale/internal/standin/platform"
	"bilberrydale/process/clock"
	"bilberrydale/process/release"
	"bilberrydale/version/table"
)

// Options configure one measurement.
type Options struct {
	Requests int // recorded requests on each path, direct and through the entry host
	Clients  int // concurrent clients, among which the requests are divided evenly
	Stages   int // of the route; a direct request makes as many calls
	Body     int // bytes of each request
}

// Report holds latencies in microseconds, and the mean number and bytes of the
// allocations that an entry host adds to each request.
type Report struct {
	Options
	DirectP50    float64 `json:"direct_p50_us"`
	DirectP99    float64 `json:"direct_p99_us"`
	EntryHostP50 float64 `json:"entry_p50_us"`
	EntryHostP99 float64 `json:"entry_p99_us"`
	AddedP50     float64 `json:"added_p50_us"`
	AddedP99     float64 `json:"added_p99_us"`
	AddedAllocs  float64 `json:"added_allocations"`
	AddedBytes   float64 `json:"added_bytes"`
}

const (
	interleavedRounds = 20                                   // rounds; each makes a part of the direct and of the entry host calls
	warmupRequests    = 200                                  // on each path, not recorded
	maxLatencyNanos   = int64(time.Minute / time.Nanosecond) // longer latencies are not recorded
	routePath         = "/v1/echo"
)

// measurement collects the latencies and allocations of one path, direct or through
// the entry host.
type measurement struct {
	latencies     *hdrhistogram.Histogram // nanoseconds
	mu            sync.Mutex              // guards latencies
	allocs, bytes uint64                  // allocations of the whole process during the recorded calls
	call          func() error            // makes one request on the path
}

// Measure starts an entry host and a backend server in this process, makes
// warmupRequests on the direct path and on the one through the entry host, and then
// alternates between the paths for interleavedRounds. It fails if any call fails.
func Measure(ctx context.Context, o Options) (Report, error) {
	server := httptest.NewServer(http.HandlerFunc(serveEcho))
	defer server.Close()
	host, stop, err := startEntryHost(ctx, server.Listener.Addr().String(), o.Stages)
	if err != nil {
		return Report{}, err
	}
	defer stop()
	callerAddress, _ := host.Addresses()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Clients}}
	defer client.CloseIdleConnections()
	body := bytes.Repeat([]byte("a"), o.Body)
	direct := newMeasurement(func() error {
		for range o.Stages {
			if err := post(client, server.URL+routePath, body); err != nil {
				return err
			}
		}
		return nil
	})
	viaHost := newMeasurement(func() error { return post(client, "http://"+callerAddress+routePath, body) })
	for _, m := range []*measurement{direct, viaHost} {
		if err := m.run(warmupRequests, o.Clients, false); err != nil {
			return Report{}, err
		}
	}
	for range interleavedRounds {
		for _, m := range []*measurement{direct, viaHost} {
			if err := m.run(o.Requests/interleavedRounds, o.Clients, true); err != nil {
				return Report{}, err
			}
		}
	}
	return newReport(o, direct, viaHost), nil
}

// newReport returns the latencies of both paths and their differences. The added
// allocations are the mean of a request.
func newReport(o Options, direct, viaHost *measurement) Report {
	r := Report{
		Options: o, DirectP50: direct.quantileMicros(50), DirectP99: direct.quantileMicros(99),
		EntryHostP50: viaHost.quantileMicros(50), EntryHostP99: viaHost.quantileMicros(99),
	}
	r.AddedP50, r.AddedP99 = r.EntryHostP50-r.DirectP50, r.EntryHostP99-r.DirectP99
	n := float64(viaHost.latencies.TotalCount())
	r.AddedAllocs = (float64(viaHost.allocs) - float64(direct.allocs)) / n
	r.AddedBytes = (float64(viaHost.bytes) - float64(direct.bytes)) / n
	return r
}

// newMeasurement returns an empty measurement of the path on which call makes a
// request.
func newMeasurement(call func() error) *measurement {
	return &measurement{latencies: hdrhistogram.New(1, maxLatencyNanos, 3), call: call}
}

// quantileMicros returns the latency, in microseconds, at percentile q (0 to 100).
func (m *measurement) quantileMicros(q float64) float64 {
	return float64(m.latencies.ValueAtQuantile(q)) / 1000
}

// run makes n calls, divided over several clients, and counts the allocations of
// the whole process meanwhile. A warm-up does not record.
func (m *measurement) run(n, clients int, record bool) error {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	errs := make(chan error, clients)
	for range clients {
		go func() { errs <- m.runClient(n/clients, record) }()
	}
	var failed error
	for range clients {
		if err := <-errs; err != nil {
			failed = err
		}
	}
	runtime.ReadMemStats(&after)
	if record {
		m.allocs += after.Mallocs - before.Mallocs
		m.bytes += after.TotalAlloc - before.TotalAlloc
	}
	return failed
}

// runClient makes n calls one after the other and returns the first error.
func (m *measurement) runClient(n int, record bool) error {
	for range n {
		start := time.Now()
		if err := m.call(); err != nil {
			return err
		}
		elapsed := time.Since(start)
		if record {
			m.mu.Lock()
			_ = m.latencies.RecordValue(elapsed.Nanoseconds())
			m.mu.Unlock()
		}
	}
	return nil
}

// post sends body and discards the response. A status other than 200 is an error.
func post(client *http.Client, url string, body []byte) error {
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("overhead: call failed with status %d", resp.StatusCode)
	}
	return nil
}

// serveEcho responds with the request body and the identifying headers that entry
// hosts check, and does nothing else that would cost time.
func serveEcho(w http.ResponseWriter, r *http.Request) {
	for _, h := range []string{backend.HeaderRequestID, backend.HeaderStage, backend.HeaderAttempt} {
		w.Header().Set(h, r.Header.Get(h))
	}
	_, _ = io.Copy(w, r.Body)
}

// startEntryHost runs an entry host in front of one backend server and waits for
// its first release. The returned function stops it.
func startEntryHost(ctx context.Context, addr string, stages int) (*entryhost.Host, func(), error) {
	objects := platform.NewStore()
	if err := publishTables(ctx, objects, addr, stages); err != nil {
		return nil, nil, err
	}
	store := httptest.NewServer(objects.Handler())
	o := entryhost.DefaultOptions()
	o.Name, o.Domain, o.Region, o.PlatformURL, o.LogLevel = "entry", "d1", "r1", store.URL, "error"
	o.ListenAddress, o.AdminAddress, o.PeerAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	host, err := entryhost.New(ctx, o)
	if err != nil {
		store.Close()
		return nil, nil, err
	}
	running, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- host.Run(running) }()
	stop := func() {
		cancel()
		<-done
		store.Close()
	}
	for host.Status().Release == 0 {
		select {
		case <-ctx.Done():
			stop()
			return nil, nil, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
	return host, stop, nil
}

// publishTables publishes a release with a route of the given number of stages, all
// on the backend server at addr (host:port).
func publishTables(ctx context.Context, objects *platform.Store, addr string, stages int) error {
	route := table.Route{
		Name: "echo", Match: table.Match{Path: routePath}, Deadline: table.Duration(10 * time.Second), Worth: 1, Class: table.Interactive,
	}
	for i := range stages {
		route.Stages = append(route.Stages, table.Stage{
			Name: fmt.Sprint("s", i), Pool: "echo", Path: routePath, Budget: table.Duration(time.Second), Repeatable: true,
		})
	}
	rows, err := table.EncodeRows(table.Tables{Routes: []table.Route{route}, Pools: []table.Pool{{
		Name: "echo", Kind: table.Service, Slots: 10000,
		Servers: []table.Server{{Name: "echo-1", Address: addr, Domain: "d1", Region: "r1"}},
	}}})
	if err != nil {
		return err
	}
	set := release.ChangeSet{Author: "overhead"}
	for key, data := range rows {
		set.Changes = append(set.Changes, release.Change{Key: key, Data: data})
	}
	pub := &release.Publisher{Store: objects, Validate: table.ValidateRows, Clock: clock.System{}, Rand: clock.SystemRand{}}
	_, err = pub.Apply(ctx, set)
	return err
}
