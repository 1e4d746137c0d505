// Command standin runs a small stand-in for one external system: the platform's
// object API, a model engine, a plain service or a weight store.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"bilberrydale/internal/settings"
	"bilberrydale/internal/standin/engine"
	"bilberrydale/internal/standin/platform"
	"bilberrydale/internal/standin/service"
	"bilberrydale/internal/standin/weights"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// crashExitCode is the exit code of a stand-in that crashes on request.
const crashExitCode = 3

// crash ends the process without cleanup.
func crash() { os.Exit(crashExitCode) }

// run parses args and serves the stand-in that they name.
func run(args []string) error {
	parser := flaggy.NewParser("standin")
	parser.Version = settings.Version()
	listen := "127.0.0.1:0"
	engineOpts := engine.Options{Name: "engine", Slots: 8, ResponseTokens: 16, PrefillTime: 20 * time.Millisecond, TokenInterval: 2 * time.Millisecond, ReportMaxAge: time.Second, CacheCapacity: 256, Crash: crash}
	serviceOpts := service.Options{Name: "service", Slots: 64, ExecutionTime: 5 * time.Millisecond, Crash: crash}

	weightsOpts := weights.Options{ModelBytes: 64 << 20, BytesPerSecond: 16 << 20}

	platformCmd, engineCmd, serviceCmd := flaggy.NewSubcommand("platform"), flaggy.NewSubcommand("engine"), flaggy.NewSubcommand("service")
	weightsCmd := flaggy.NewSubcommand("weights")
	platformCmd.Description, engineCmd.Description, serviceCmd.Description = "object API with versions and watches", "model engine", "plain service, encoder, retriever or reranker"
	weightsCmd.Description = "weight store with a rate limit"
	var sets []*settings.Set
	for _, cmd := range []*flaggy.Subcommand{platformCmd, engineCmd, serviceCmd, weightsCmd} {
		parser.AttachSubcommand(cmd, 1)
		set := settings.New(cmd, "STANDIN")
		set.String(&listen, "listen", "address, host:port", settings.Required)
		sets = append(sets, set)
	}
	registerEngineSettings(sets[1], &engineOpts)
	sets[2].String(&serviceOpts.Name, "name", "name of the backend server", settings.Required)
	sets[2].Int(&serviceOpts.Slots, "slots", "maximum requests running at a time", 1, 10000)
	sets[2].Duration(&serviceOpts.ExecutionTime, "time", "duration of one execution", 0, time.Minute)
	sets[3].Int(&weightsOpts.ModelBytes, "size", "bytes of a model", 1, 1<<40)
	sets[3].Int(&weightsOpts.BytesPerSecond, "rate", "limit of bytes per second over all readers", 1, 1<<40)
	if err := settings.Parse(parser, args, sets...); err != nil {
		return err
	}
	switch {
	case platformCmd.Used:
		return serve(listen, platform.NewStore().Handler())
	case engineCmd.Used:
		return serve(listen, engine.New(engineOpts).Handler())
	case serviceCmd.Used:
		return serve(listen, service.New(serviceOpts).Handler())
	case weightsCmd.Used:
		return serve(listen, weights.New(weightsOpts).Handler())
	}
	return fmt.Errorf("name one of platform, engine, service, weights; see --help")
}

// registerEngineSettings adds the settings of a model engine to set.
func registerEngineSettings(set *settings.Set, o *engine.Options) {
	set.String(&o.Name, "name", "name of the backend server", settings.Required)
	set.String(&o.InitialModel, "model", "model that is loaded at start", nil)
	set.Int(&o.Slots, "slots", "sequences in a batch", 1, 10000)
	set.Int(&o.ResponseTokens, "tokens", "tokens of each response", 1, 100000)
	set.Duration(&o.PrefillTime, "prefill", "time to the first token without a cached prefix", 0, time.Minute)
	set.Duration(&o.TokenInterval, "per-token", "time between tokens", 0, time.Minute)
	set.Duration(&o.ReportMaxAge, "report-lag", "age at which the load report is renewed", 0, time.Minute)
	set.Int(&o.CacheCapacity, "cache", "prompt prefixes kept in the cache", 1, 1000000)
	set.Duration(&o.EventDelay, "event-lag", "time from a cache event to its publication", 0, time.Hour)
	set.Int(&o.DropEventEvery, "event-gap", "drop every nth cache event; 0: none", 0, 1000000)
	set.Duration(&o.OrderDuration, "order-time", "duration of the execution of an order", 0, time.Hour)
	set.String(&o.WeightStoreURL, "weights", "base URL of the weight store; empty: none", nil)
	set.Bool(&o.EnforceFencing, "fencing", "refuse orders with an outdated fencing number")
}

// serve serves h on addr and prints the address of the listener, which callers
// need if the port of addr is 0.
func serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fmt.Fprintf(os.Stderr, "listening callers=%s\n", l.Addr())
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	return s.Serve(l)
}
