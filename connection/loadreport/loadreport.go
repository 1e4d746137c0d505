// Package loadreport fetches the reports that backend servers give of their own
// load. Fetching is bounded in rate, so that what it costs does not grow with
// the number of servers: with more of them each report is older.
package loadreport

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"bilberrydale/process/clock"
	"bilberrydale/process/server"
)

// Options configure a Fetcher.
type Options struct {
	PerSecond int           // reports fetched a second
	Timeout   time.Duration // of one fetch
	Parallel  int           // fetches at once
}

// DefaultOptions keeps the traffic of reports near 4 KB/s.
func DefaultOptions() Options {
	return Options{PerSecond: 10, Timeout: 500 * time.Millisecond, Parallel: 4}
}

// maxReport bounds a report in bytes.
const maxReport = 16 << 10

// Fetcher fetches reports in turn.
type Fetcher struct {
	opts   Options
	client *http.Client
	clock  clock.Clock
	// servers returns the servers whose reports are wanted, and is asked
	// again after each round.
	servers func() []*server.State
}

// New returns a fetcher.
func New(opts Options, c clock.Clock, servers func() []*server.State) *Fetcher {
	return &Fetcher{
		opts: opts, clock: c, servers: servers,
		client: &http.Client{
			Transport:     &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DisableCompression: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Run fetches until ctx ends.
func (f *Fetcher) Run(ctx context.Context) error {
	defer f.client.CloseIdleConnections()
	g := &errgroup.Group{}
	g.SetLimit(f.opts.Parallel)
	defer func() { _ = g.Wait() }()
	pause := time.Second / time.Duration(f.opts.PerSecond)
	for {
		round := f.servers()
		for i := 0; i == 0 || i < len(round); i++ {
			select {
			case <-ctx.Done():
				return nil
			case <-f.clock.After(pause):
			}
			if i >= len(round) {
				continue
			}
			g.Go(func() error {
				_ = f.Fetch(ctx, round[i])
				return nil
			})
		}
	}
}

// Fetch gets one report and stores it. A server without reports keeps none.
func (f *Fetcher) Fetch(ctx context.Context, s *server.State) error {
	ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address+"/load", nil)
	if err != nil {
		return fmt.Errorf("load of %s: %w", s.Name, err)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return fmt.Errorf("load of %s: %w", s.Name, err)
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxReport)
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, body)
		return fmt.Errorf("load of %s: status %d", s.Name, resp.StatusCode)
	}
	var l struct {
		Running int      `json:"running"`
		Queued  int      `json:"queued"`
		Slots   int      `json:"slots"`
		Models  []string `json:"models"`
		Role    string   `json:"role"`
	}
	if err := json.NewDecoder(body).Decode(&l); err != nil {
		return fmt.Errorf("load of %s: %w", s.Name, err)
	}
	s.SetLoad(&server.Load{
		Running: l.Running, Queued: l.Queued, Slots: l.Slots, Models: l.Models, Role: l.Role, Received: f.clock.Now(),
	})
	return nil
}
