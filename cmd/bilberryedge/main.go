// Command bilberryedge is the daemon of an entry host on a platform that stores
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
	// This comes first: SIGHUP requests a reload of the settings, but until it is
	// handled, it ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	if err := run(os.Args[1:], hup); err != nil {
		fmt.Fprintln(os.Stderr, "bilberryedge:", err)
		os.Exit(1)
	}
}

// memoryLimitShare is the share of the platform's memory limit that is set as the
// soft limit of the Go runtime, from which the garbage collector works harder. The
// rest is for unread bytes in socket buffers, which count toward the platform's
// limit as well.
const memoryLimitShare = 0.6

// run parses args and serves, or only checks the settings file.
func run(args []string, hup <-chan os.Signal) error {
	path := os.Getenv(platform.SettingsEnvVar)
	parser := flaggy.NewParser("bilberryedge")
	parser.Version = settings.Version()
	parser.Description = "Serves clients' requests on a platform that stores configuration and backend servers in its object API."
	parser.String(&path, "", "settings", "path of the platform's settings file ["+platform.SettingsEnvVar+"]")
	check := flaggy.NewSubcommand("check")
	check.Description = "Reads and checks the settings file, then exits."
	parser.AttachSubcommand(check, 1)
	if err := parser.ParseArgs(args); err != nil {
		return err
	}
	readSettings := func() (platform.Settings, error) { return platform.ReadSettings(path) }
	loaded, err := readSettings()
	if err != nil {
		return err
	}
	if check.Used {
		fmt.Printf("%s: host %s in %s, clients at %s, store at %s\n", path, loaded.Host, loaded.Domain, loaded.ClientAddress, loaded.StoreAddress)
		return nil
	}
	return serve(loaded, readSettings, hup)
}

// serve runs an entry host until a signal ends it. Each signal on hup makes the host
// read the settings again with readSettings.
func serve(initial platform.Settings, readSettings func() (platform.Settings, error), hup <-chan os.Signal) error {
	if initial.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(initial.MemoryBytes)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan struct{}, 1)
	go func() {
		for range hup {
			select {
			case reload <- struct{}{}:
			default: // a reload is already pending
			}
		}
	}()
	host, err := edge.New(edge.Options{Settings: initial, Reload: reload, ReadSettings: readSettings, LogOutput: os.Stdout})
	if err != nil {
		return err
	}
	return host.Run(ctx)
}
