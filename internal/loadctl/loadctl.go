// Package loadctl implements the commands of cmd/load, which measure entry hosts on
// this machine: traffic sends open-loop requests to running entry hosts, overhead
// compares direct calls with calls through an entry host that it starts itself.
package loadctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"bilberrydale/internal/load"
	"bilberrydale/internal/overhead"
	"bilberrydale/internal/settings"
)

// options holds the flags of both commands.
type options struct {
	targets, requestKinds, account, body string
	seed                                 int // of load
	load                                 load.Options
	overhead                             overhead.Options
	maxFailed                            float64 // fraction of requests, 0 to 1
	trafficOutFile, overheadOutFile      string  // paths of JSON files; empty: none
}

// Run parses args, runs the command they name and writes its table to out. The
// traffic command fails if more requests failed than --max-failed allows.
func Run(ctx context.Context, args []string, out io.Writer) error {
	p := flaggy.NewParser("load")
	p.Version = settings.Version()
	p.Description = "Measures entry hosts on this machine."
	o := &options{
		targets: "127.0.0.1:18091", requestKinds: "/v1/drafts", account: "load", body: `{}`, seed: 1, maxFailed: 1,
		load:     load.Options{Rate: 50, Duration: 10 * time.Second, Timeout: 10 * time.Second, MaxInFlight: 2000},
		overhead: overhead.Options{Requests: 20000, Clients: 1, Stages: 1, Body: 512},
	}
	traffic, overheadCommand := flaggy.NewSubcommand("traffic"), flaggy.NewSubcommand("overhead")
	traffic.Description, overheadCommand.Description = "send open-loop requests to running entry hosts", "measure what an entry host adds to a direct call"
	p.AttachSubcommand(traffic, 1)
	p.AttachSubcommand(overheadCommand, 1)
	trafficSettings, overheadSettings := settings.New(traffic, "LOAD"), settings.New(overheadCommand, "LOAD")
	o.registerTraffic(trafficSettings)
	o.registerOverhead(overheadSettings)
	if err := settings.Parse(p, args, trafficSettings, overheadSettings); err != nil {
		return err
	}
	switch {
	case traffic.Used:
		return o.runTraffic(ctx, out)
	case overheadCommand.Used:
		return o.runOverhead(ctx, out)
	}
	return errors.New("no command given: use traffic or overhead; see --help")
}

func (o *options) registerTraffic(set *settings.Set) {
	set.String(&o.targets, "targets", "loopback addresses on which entry hosts accept requests, separated by commas", settings.Required)
	set.String(&o.requestKinds, "requests", "paths separated by commas, each PATH[:WEIGHT[:stream]]", settings.Required)
	set.String(&o.account, "account", "client account of the requests", nil)
	set.String(&o.body, "body", "body of the requests", nil)
	set.Float(&o.load.Rate, "rate", "requests a second", 0.001, 1e6)
	set.Duration(&o.load.Duration, "duration", "time in which requests arrive", time.Millisecond, 24*time.Hour)
	set.Duration(&o.load.Timeout, "timeout", "timeout of one request", time.Millisecond, time.Hour)
	set.Int(&o.load.MaxInFlight, "in-flight", "maximum number of concurrent requests; arrivals above it are counted but not sent", 1, 100000)
	set.Int(&o.seed, "seed", "seed of the arrivals", 0, 1<<31-1)
	set.Float(&o.maxFailed, "max-failed", "fraction of requests without a complete response above which the command fails", 0, 1)
	set.String(&o.trafficOutFile, "out", "file to write the results to as JSON", nil)
}

func (o *options) registerOverhead(set *settings.Set) {
	set.Int(&o.overhead.Requests, "requests", "requests on each path, direct and through the entry host", 20, 10000000)
	set.Int(&o.overhead.Clients, "clients", "concurrent clients", 1, 1000)
	set.Int(&o.overhead.Stages, "stages", "stages of the route", 1, 12)
	set.Int(&o.overhead.Body, "body", "bytes of the body", 0, 1<<20)
	set.String(&o.overheadOutFile, "out", "file to write the results to as JSON", nil)
}

// parseRequestKinds parses the --requests flag, in which items without a weight
// have weight 1.
func parseRequestKinds(text, account, body string) ([]load.RequestKind, error) {
	var mix []load.RequestKind
	for _, item := range strings.Split(text, ",") {
		parts := strings.Split(item, ":")
		r := load.RequestKind{Path: parts[0], Weight: 1, Account: account, Body: body}
		if len(parts) > 1 {
			w, err := strconv.ParseFloat(parts[1], 64)
			if err != nil || w <= 0 {
				return nil, fmt.Errorf("--requests: %q: the weight is not a positive number", item)
			}
			r.Weight = w
		}
		r.Stream = len(parts) > 2 && parts[2] == "stream"
		mix = append(mix, r)
	}
	return mix, nil
}

// runTraffic sends the traffic and prints a row of results for each kind of request.
func (o *options) runTraffic(ctx context.Context, out io.Writer) error {
	mix, err := parseRequestKinds(o.requestKinds, o.account, o.body)
	if err != nil {
		return err
	}
	o.load.Targets, o.load.Mix, o.load.Seed = strings.Split(o.targets, ","), mix, uint64(o.seed)
	results, err := load.Run(ctx, o.load)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PATH\tSENT\tWHOLE\tUNSENT\tP50 ms\tP99 ms\tMAX ms\tFIRST P50\tFIRST P99\tOTHER")
	sent, completed := 0, 0
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%v\n", r.Path, r.Sent, r.Completed, r.Unsent, r.P50, r.P99, r.Max, r.FirstByteP50, r.FirstByteP99, r.Failures)
		sent += r.Sent + r.Unsent
		completed += r.Completed
	}
	if err := errors.Join(w.Flush(), writeJSON(o.trafficOutFile, results)); err != nil {
		return err
	}
	if failed := float64(sent-completed) / float64(max(sent, 1)); failed > o.maxFailed {
		return fmt.Errorf("the fraction of requests without a complete response is %.4f, over %g", failed, o.maxFailed)
	}
	return nil
}

// runOverhead measures the overhead and prints the report.
func (o *options) runOverhead(ctx context.Context, out io.Writer) error {
	r, err := overhead.Measure(ctx, o.overhead)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "requests a side %d, clients %d, stages %d, body %d bytes\n", r.Requests, r.Clients, r.Stages, r.Body)
	fmt.Fprintln(w, "\tP50 µs\tP99 µs")
	fmt.Fprintf(w, "direct\t%.1f\t%.1f\n", r.DirectP50, r.DirectP99)
	fmt.Fprintf(w, "entry host\t%.1f\t%.1f\n", r.EntryHostP50, r.EntryHostP99)
	fmt.Fprintf(w, "added\t%.1f\t%.1f\n", r.AddedP50, r.AddedP99)
	fmt.Fprintf(w, "added allocations a request\t%.1f\t(%.0f bytes)\n", r.AddedAllocs, r.AddedBytes)
	return errors.Join(w.Flush(), writeJSON(o.overheadOutFile, r))
}

// writeJSON writes v to a file as indented JSON; an empty path writes nothing.
func writeJSON(path string, v any) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
