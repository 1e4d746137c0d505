// Command bilberryd is the daemon of an entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

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

func run(args []string) error {
	opts := entryhost.DefaultOptions()
	p := flaggy.NewParser("bilberryd")
	p.Description = "Serves callers' requests through the stages of their routes."
	set := settings.New(p, "BILBERRYD")
	opts.Register(set)
	if err := settings.Parse(p, args, set); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	host, err := entryhost.New(ctx, opts)
	if err != nil {
		return err
	}
	return host.Run(ctx)
}
