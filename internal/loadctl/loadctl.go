// Package loadctl is the command behind cmd/load: it measures entry hosts on
// this machine. traffic sends open-loop requests to running ones, overhead
// compares a direct call with one through an entry host of its own.
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

// options are the flags of both commands.
type options struct {
	targets, mix, account, body string
	seed                        int
	load                        load.Options
	overhead                    overhead.Options
	maxFailed                   float64
	trafficOut, overheadOut     string
}

// Run parses args and runs one command; its table goes to out.
func Run(ctx context.Context, args []string, out io.Writer) error {
	p := flaggy.NewParser("load")
	p.Version = settings.Version()
	p.Description = "Measures entry hosts on this machine."
	o := &options{
		targets: "127.0.0.1:18091", mix: "/v1/drafts", account: "load", body: `{}`, seed: 1, maxFailed: 1,
		load:     load.Options{Rate: 50, Duration: 10 * time.Second, Timeout: 10 * time.Second, MaxInFlight: 2000},
		overhead: overhead.Options{Requests: 20000, Clients: 1, Stages: 1, Body: 512},
	}
	traffic, over := flaggy.NewSubcommand("traffic"), flaggy.NewSubcommand("overhead")
	traffic.Description, over.Description = "send open-loop requests to running entry hosts", "measure what an entry host adds to a direct call"
	p.AttachSubcommand(traffic, 1)
	p.AttachSubcommand(over, 1)
	ts, ovs := settings.New(traffic, "LOAD"), settings.New(over, "LOAD")
	o.registerTraffic(ts)
	o.registerOverhead(ovs)
	if err := settings.Parse(p, args, ts, ovs); err != nil {
		return err
	}
	switch {
	case traffic.Used:
		return o.runTraffic(ctx, out)
	case over.Used:
		return o.runOverhead(ctx, out)
	}
	return errors.New("name one of traffic, overhead; see --help")
}

func (o *options) registerTraffic(set *settings.Set) {
	set.String(&o.targets, "targets", "callers' addresses of entry hosts on loopback, separated by commas", settings.Required)
	set.String(&o.mix, "requests", "paths separated by commas, each PATH[:WEIGHT[:stream]]", settings.Required)
	set.String(&o.account, "account", "client account of the requests", nil)
	set.String(&o.body, "body", "body of the requests", nil)
	set.Float(&o.load.Rate, "rate", "requests a second", 0.001, 1e6)
	set.Duration(&o.load.Duration, "duration", "time in which requests arrive", time.Millisecond, 24*time.Hour)
	set.Duration(&o.load.Timeout, "timeout", "longest wait for one answer", time.Millisecond, time.Hour)
	set.Int(&o.load.MaxInFlight, "in-flight", "requests at once; arrivals above are counted and not sent", 1, 100000)
	set.Int(&o.seed, "seed", "seed of the arrivals", 0, 1<<31-1)
	set.Float(&o.maxFailed, "max-failed", "share of requests without a whole answer above which the command fails", 0, 1)
	set.String(&o.trafficOut, "out", "file for the figures as JSON", nil)
}

func (o *options) registerOverhead(set *settings.Set) {
	set.Int(&o.overhead.Requests, "requests", "requests on each side", 20, 10000000)
	set.Int(&o.overhead.Clients, "clients", "clients at once", 1, 1000)
	set.Int(&o.overhead.Stages, "stages", "stages of the route", 1, 12)
	set.Int(&o.overhead.Body, "body", "bytes of the body", 0, 1<<20)
	set.String(&o.overheadOut, "out", "file for the figures as JSON", nil)
}

func parseMix(text, account, body string) ([]load.RequestKind, error) {
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

func (o *options) runTraffic(ctx context.Context, out io.Writer) error {
	mix, err := parseMix(o.mix, o.account, o.body)
	if err != nil {
		return err
	}
	o.load.Targets, o.load.Mix, o.load.Seed = strings.Split(o.targets, ","), mix, uint64(o.seed)
	lines, err := load.Run(ctx, o.load)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PATH\tSENT\tWHOLE\tUNSENT\tP50 ms\tP99 ms\tMAX ms\tFIRST P50\tFIRST P99\tOTHER")
	sent, whole := 0, 0
	for _, l := range lines {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%v\n", l.Path, l.Sent, l.Completed, l.Unsent, l.P50, l.P99, l.Max, l.FirstByteP50, l.FirstByteP99, l.Failures)
		sent += l.Sent + l.Unsent
		whole += l.Completed
	}
	if err := errors.Join(w.Flush(), writeJSON(o.trafficOut, lines)); err != nil {
		return err
	}
	if failed := float64(sent-whole) / float64(max(sent, 1)); failed > o.maxFailed {
		return fmt.Errorf("%.4f of the requests got no whole answer, over %g", failed, o.maxFailed)
	}
	return nil
}

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
	return errors.Join(w.Flush(), writeJSON(o.overheadOut, r))
}

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
