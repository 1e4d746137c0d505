// Command bilberryedge is the daemon of an entry host on a platform that keeps
// configuration and backend servers in its object API.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"bilberrydale/edge"
	"bilberrydale/platform"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "bilberryedge:", err)
		os.Exit(1)
	}
}

// memoryShare of the platform's limit is where the garbage collector works
// harder; the rest is for unread bytes in sockets, which count as well.
const memoryShare = 0.6

func run() error {
	read := func() (platform.Settings, error) { return platform.ReadSettings(os.Getenv(platform.SettingsVariable)) }
	set, err := read()
	if err != nil {
		return err
	}
	if set.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryBytes)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	reload := make(chan struct{}, 1)
	go func() {
		for range hup {
			select {
			case reload <- struct{}{}:
			default: // one is waiting already
			}
		}
	}()
	host, err := edge.New(edge.Options{Settings: set, Reload: reload, ReadSettings: read, Out: os.Stdout})
	if err != nil {
		return err
	}
	return host.Run(ctx)
}
