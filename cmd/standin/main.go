// Command standin runs one small stand-in for an outside system: the platform,
// a model engine or a plain service.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"bilberrydale/internal/settings"
	"bilberrydale/internal/standin/engine"
	"bilberrydale/internal/standin/platform"
	"bilberrydale/internal/standin/service"
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
	listen := "127.0.0.1:0"
	eng := engine.Options{Name: "engine", Slots: 8, Tokens: 16, Prefill: 20 * time.Millisecond, PerToken: 2 * time.Millisecond, ReportLag: time.Second, Crash: crash}
	svc := service.Options{Name: "service", Slots: 64, Time: 5 * time.Millisecond, Crash: crash}

	pc, ec, sc := flaggy.NewSubcommand("platform"), flaggy.NewSubcommand("engine"), flaggy.NewSubcommand("service")
	pc.Description, ec.Description, sc.Description = "object API with versions and watches", "model engine", "plain service, encoder, retriever or reranker"
	var sets []*settings.Set
	for _, c := range []*flaggy.Subcommand{pc, ec, sc} {
		p.AttachSubcommand(c, 1)
		set := settings.New(c, "STANDIN")
		set.String(&listen, "listen", "address, host:port", settings.Required)
		sets = append(sets, set)
	}
	registerEngine(sets[1], &eng)
	sets[2].String(&svc.Name, "name", "name of the backend server", settings.Required)
	sets[2].Int(&svc.Slots, "slots", "requests run at once", 1, 10000)
	sets[2].Duration(&svc.Time, "time", "time of one execution", 0, time.Minute)
	if err := settings.Parse(p, args, sets...); err != nil {
		return err
	}
	switch {
	case pc.Used:
		return serve(listen, platform.New().Handler())
	case ec.Used:
		return serve(listen, engine.New(eng).Handler())
	case sc.Used:
		return serve(listen, service.New(svc).Handler())
	}
	return fmt.Errorf("name one of platform, engine, service; see --help")
}

func registerEngine(set *settings.Set, o *engine.Options) {
	set.String(&o.Name, "name", "name of the backend server", settings.Required)
	set.String(&o.Model, "model", "model loaded at the start", nil)
	set.Int(&o.Slots, "slots", "sequences in a batch", 1, 10000)
	set.Int(&o.Tokens, "tokens", "tokens of each answer", 1, 100000)
	set.Duration(&o.Prefill, "prefill", "time to the first token without a cached prefix", 0, time.Minute)
	set.Duration(&o.PerToken, "per-token", "time between tokens", 0, time.Minute)
	set.Duration(&o.ReportLag, "report-lag", "age of the load report", 0, time.Minute)
	set.Bool(&o.Fencing, "fencing", "refuse orders with an old fencing number")
}

func serve(addr string, h http.Handler) error {
	s := &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: 5 * time.Second}
	return s.ListenAndServe()
}
