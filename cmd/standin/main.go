// Command standin runs one small stand-in for an outside system: the platform,
// a model engine or a plain service.
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

const crashExit = 3

func crash() { os.Exit(crashExit) }

func run(args []string) error {
	p := flaggy.NewParser("standin")
	p.Version = settings.Version()
	listen := "127.0.0.1:0"
	eng := engine.Options{Name: "engine", Slots: 8, ResponseTokens: 16, PrefillTime: 20 * time.Millisecond, TokenInterval: 2 * time.Millisecond, ReportMaxAge: time.Second, CacheCapacity: 256, Crash: crash}
	svc := service.Options{Name: "service", Slots: 64, ExecutionTime: 5 * time.Millisecond, Crash: crash}

	store := weights.Options{ModelBytes: 64 << 20, BytesPerSecond: 16 << 20}

	pc, ec, sc := flaggy.NewSubcommand("platform"), flaggy.NewSubcommand("engine"), flaggy.NewSubcommand("service")
	wc := flaggy.NewSubcommand("weights")
	pc.Description, ec.Description, sc.Description = "object API with versions and watches", "model engine", "plain service, encoder, retriever or reranker"
	wc.Description = "weight store with a rate"
	var sets []*settings.Set
	for _, c := range []*flaggy.Subcommand{pc, ec, sc, wc} {
		p.AttachSubcommand(c, 1)
		set := settings.New(c, "STANDIN")
		set.String(&listen, "listen", "address, host:port", settings.Required)
		sets = append(sets, set)
	}
	registerEngine(sets[1], &eng)
	sets[2].String(&svc.Name, "name", "name of the backend server", settings.Required)
	sets[2].Int(&svc.Slots, "slots", "requests run at once", 1, 10000)
	sets[2].Duration(&svc.ExecutionTime, "time", "time of one execution", 0, time.Minute)
	sets[3].Int(&store.ModelBytes, "size", "bytes of a model", 1, 1<<40)
	sets[3].Int(&store.BytesPerSecond, "rate", "bytes a second for all readers together", 1, 1<<40)
	if err := settings.Parse(p, args, sets...); err != nil {
		return err
	}
	switch {
	case pc.Used:
		return serve(listen, platform.NewStore().Handler())
	case ec.Used:
		return serve(listen, engine.New(eng).Handler())
	case sc.Used:
		return serve(listen, service.New(svc).Handler())
	case wc.Used:
		return serve(listen, weights.New(store).Handler())
	}
	return fmt.Errorf("name one of platform, engine, service, weights; see --help")
}

func registerEngine(set *settings.Set, o *engine.Options) {
	set.String(&o.Name, "name", "name of the backend server", settings.Required)
	set.String(&o.InitialModel, "model", "model loaded at the start", nil)
	set.Int(&o.Slots, "slots", "sequences in a batch", 1, 10000)
	set.Int(&o.ResponseTokens, "tokens", "tokens of each answer", 1, 100000)
	set.Duration(&o.PrefillTime, "prefill", "time to the first token without a cached prefix", 0, time.Minute)
	set.Duration(&o.TokenInterval, "per-token", "time between tokens", 0, time.Minute)
	set.Duration(&o.ReportMaxAge, "report-lag", "age of the load report", 0, time.Minute)
	set.Int(&o.CacheCapacity, "cache", "prompt prefixes kept", 1, 1000000)
	set.Duration(&o.EventDelay, "event-lag", "age at which a cache event is published", 0, time.Hour)
	set.Int(&o.DropEventEvery, "event-gap", "every so many cache events one is lost; 0 for none", 0, 1000000)
	set.Duration(&o.OrderDuration, "order-time", "time to carry out an order", 0, time.Hour)
	set.String(&o.WeightStoreURL, "weights", "base URL of the weight store; empty for none", nil)
	set.Bool(&o.EnforceFencing, "fencing", "refuse orders with an old fencing number")
}

// serve listens on addr and tells the address it got, for port 0.
func serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fmt.Fprintf(os.Stderr, "listening callers=%s\n", l.Addr())
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	return s.Serve(l)
}
