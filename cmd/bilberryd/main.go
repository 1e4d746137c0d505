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

// drainDelay is the daemon's default: time for a balancer to see that the host
// is no longer ready.
const drainDelay = 2 * time.Second

func run(args []string) error {
	opts := entryhost.DefaultOptions()
	opts.DrainDelay = drainDelay
	p := flaggy.NewParser("bilberryd")
	p.Version = settings.Version()
	p.Description = "Serves callers' requests through the stages of their routes."
	set := settings.New(p, "BILBERRYD")
	opts.Register(set)
	if err := errors.Join(settings.Parse(p, args, set), opts.Check()); err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	opts.Reload = reload
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// A second signal ends the process at once, cutting what is in flight.
	context.AfterFunc(ctx, stop)
	host, err := entryhost.New(ctx, opts)
	if err != nil {
		return err
	}
	return host.Run(ctx)
}
