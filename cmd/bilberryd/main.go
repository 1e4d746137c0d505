// Command bilberryd is the daemon of an entry host.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"bilberrydale/entryhost"
	"bilberrydale/internal/settings"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "bilberryd:", err)
		os.Exit(1)
	}
}

// defaultDrainDelay gives a balancer time to see that the host is not ready any
// more, before the host refuses requests.
const defaultDrainDelay = 2 * time.Second

// run parses args and serves until a signal ends it or a task of the host fails.
func run(args []string) error {
	opts := entryhost.DefaultOptions()
	opts.DrainDelay = defaultDrainDelay
	parser := flaggy.NewParser("bilberryd")
	parser.Version = settings.Version()
	parser.Description = "Serves callers' requests through the stages of their routes."
	set := settings.New(parser, "BILBERRYD")
	opts.Register(set)
	if err := errors.Join(settings.Parse(parser, args, set), opts.Check()); err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	opts.Reload = reload
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// Once ctx ends, signals have their default action again: a second one ends the
	// process at once and cuts off the requests in flight.
	context.AfterFunc(ctx, stop)
	host, err := entryhost.New(ctx, opts)
	if err != nil {
		return err
	}
	return host.Run(ctx)
}
