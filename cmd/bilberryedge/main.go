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

	"github.com/integrii/flaggy"

	"bilberrydale/edge"
	"bilberrydale/internal/settings"
	"bilberrydale/platform"
)

func main() {
	// First of all: until then a SIGHUP, which only asks to read the settings
	// again, ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	if err := run(os.Args[1:], hup); err != nil {
		fmt.Fprintln(os.Stderr, "bilberryedge:", err)
		os.Exit(1)
	}
}

// memoryShare of the platform's limit is where the garbage collector works
// harder; the rest is for unread bytes in sockets, which count as well.
const memoryShare = 0.6

func run(args []string, hup <-chan os.Signal) error {
	path := os.Getenv(platform.SettingsEnvVar)
	p := flaggy.NewParser("bilberryedge")
	p.Version = settings.Version()
	p.Description = "Serves clients' requests on a platform that keeps configuration and backend servers."
	p.String(&path, "", "settings", "path of the platform's settings file ["+platform.SettingsEnvVar+"]")
	check := flaggy.NewSubcommand("check")
	check.Description = "Reads and checks the settings file, and ends."
	p.AttachSubcommand(check, 1)
	if err := p.ParseArgs(args); err != nil {
		return err
	}
	read := func() (platform.Settings, error) { return platform.ReadSettings(path) }
	set, err := read()
	if err != nil {
		return err
	}
	if check.Used {
		fmt.Printf("%s: host %s in %s, clients at %s, store at %s\n", path, set.Host, set.Domain, set.ClientAddress, set.StoreAddress)
		return nil
	}
	return serve(set, read, hup)
}

func serve(set platform.Settings, read func() (platform.Settings, error), hup <-chan os.Signal) error {
	if set.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryBytes)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan struct{}, 1)
	go func() {
		for range hup {
			select {
			case reload <- struct{}{}:
			default: // one is waiting already
			}
		}
	}()
	host, err := edge.New(edge.Options{Settings: set, Reload: reload, ReadSettings: read, LogOutput: os.Stdout})
	if err != nil {
		return err
	}
	return host.Run(ctx)
}
