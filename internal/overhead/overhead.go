// Package overhead measures what an entry host adds to a call of a backend
// server: the same client calls the server directly and through an entry host,
// in turns and in one process, so that both see the same machine.
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

// Options describe one measurement.
type Options struct {
	Requests int // on each side
	Clients  int // at once
	Stages   int // of the route; the direct side makes as many calls
	Body     int // bytes
}

// Report holds microseconds and allocations for one request.
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
	rounds  = 20 // turns of direct and entry calls
	warmup  = 200
	maxTime = int64(time.Minute / time.Nanosecond)
	path    = "/v1/echo"
)

// side is one way to make the same request.
type side struct {
	hist          *hdrhistogram.Histogram // nanoseconds
	mu            sync.Mutex
	allocs, bytes uint64
	call          func() error
}

// Measure runs the measurement.
func Measure(ctx context.Context, o Options) (Report, error) {
	server := httptest.NewServer(http.HandlerFunc(echo))
	defer server.Close()
	host, stop, err := startHost(ctx, server.Listener.Addr().String(), o.Stages)
	if err != nil {
		return Report{}, err
	}
	defer stop()
	callers, _ := host.Addresses()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Clients}}
	defer client.CloseIdleConnections()
	body := bytes.Repeat([]byte("a"), o.Body)
	direct := newSide(func() error {
		for range o.Stages {
			if err := post(client, server.URL+path, body); err != nil {
				return err
			}
		}
		return nil
	})
	entry := newSide(func() error { return post(client, "http://"+callers+path, body) })
	for _, s := range []*side{direct, entry} {
		if err := s.run(warmup, o.Clients, false); err != nil {
			return Report{}, err
		}
	}
	for range rounds {
		for _, s := range []*side{direct, entry} {
			if err := s.run(o.Requests/rounds, o.Clients, true); err != nil {
				return Report{}, err
			}
		}
	}
	return report(o, direct, entry), nil
}

func report(o Options, direct, entry *side) Report {
	r := Report{
		Options: o, DirectP50: direct.micros(50), DirectP99: direct.micros(99),
		EntryHostP50: entry.micros(50), EntryHostP99: entry.micros(99),
	}
	r.AddedP50, r.AddedP99 = r.EntryHostP50-r.DirectP50, r.EntryHostP99-r.DirectP99
	n := float64(entry.hist.TotalCount())
	r.AddedAllocs = (float64(entry.allocs) - float64(direct.allocs)) / n
	r.AddedBytes = (float64(entry.bytes) - float64(direct.bytes)) / n
	return r
}

func newSide(call func() error) *side {
	return &side{hist: hdrhistogram.New(1, maxTime, 3), call: call}
}

func (s *side) micros(q float64) float64 { return float64(s.hist.ValueAtQuantile(q)) / 1000 }

// run makes n calls from several clients and counts the allocations of the
// whole process meanwhile.
func (s *side) run(n, clients int, record bool) error {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	errs := make(chan error, clients)
	for range clients {
		go func() { errs <- s.client(n/clients, record) }()
	}
	var failed error
	for range clients {
		if err := <-errs; err != nil {
			failed = err
		}
	}
	runtime.ReadMemStats(&after)
	if record {
		s.allocs += after.Mallocs - before.Mallocs
		s.bytes += after.TotalAlloc - before.TotalAlloc
	}
	return failed
}

func (s *side) client(n int, record bool) error {
	for range n {
		start := time.Now()
		if err := s.call(); err != nil {
			return err
		}
		took := time.Since(start)
		if record {
			s.mu.Lock()
			_ = s.hist.RecordValue(took.Nanoseconds())
			s.mu.Unlock()
		}
	}
	return nil
}

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
		return fmt.Errorf("overhead: status %d", resp.StatusCode)
	}
	return nil
}

// echo answers with the body and the ids of the hop, and does nothing else.
func echo(w http.ResponseWriter, r *http.Request) {
	for _, h := range []string{backend.HeaderRequestID, backend.HeaderStage, backend.HeaderAttempt} {
		w.Header().Set(h, r.Header.Get(h))
	}
	_, _ = io.Copy(w, r.Body)
}

// startHost runs an entry host in front of one backend server.
func startHost(ctx context.Context, addr string, stages int) (*entryhost.Host, func(), error) {
	objects := platform.NewStore()
	if err := publish(ctx, objects, addr, stages); err != nil {
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

func publish(ctx context.Context, objects *platform.Store, addr string, stages int) error {
	route := table.Route{
		Name: "echo", Match: table.Match{Path: path}, Deadline: table.Duration(10 * time.Second), Worth: 1, Class: table.Interactive,
	}
	for i := range stages {
		route.Stages = append(route.Stages, table.Stage{
			Name: fmt.Sprint("s", i), Pool: "echo", Path: path, Budget: table.Duration(time.Second), Repeatable: true,
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
