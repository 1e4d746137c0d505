// Package edgedaemon is the command line of the daemon bilberryedge. Its program is a thin wrapper;
// tests have another one, which disturbs the connections to backend servers.
package edgedaemon

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"

	"bilberrydale/edge"
	"bilberrydale/internal/settings"
	"bilberrydale/platform"
)

// memoryLimitShare is the share of the platform's memory limit that is set as the
// soft limit of the Go runtime, from which the garbage collector works harder. The
// rest is for unread bytes in socket buffers, which count toward the platform's
// limit as well.
const memoryLimitShare = 0.6

// DialServer opens TCP connections to backend servers; see edge.Options.
type DialServer func(ctx context.Context, address string) (net.Conn, error)

// Run parses args and serves until a signal ends the process, or only checks the settings file. Each
// signal on hup makes the host read the settings again. dial may be nil.
func Run(args []string, hup <-chan os.Signal, dial DialServer) error {
	path := os.Getenv(platform.SettingsEnvVar)
	parser := flaggy.NewParser("bilberryedge")
	parser.Version = settings.Version()
	parser.Description = "Serves clients' requests on a platform that stores configuration and backend servers in its object API."
	parser.String(&path, "", "settings", "path of the platform's settings file ["+platform.SettingsEnvVar+"]")
	check := flaggy.NewSubcommand("check")
	check.Description = "Reads and checks the settings file, then exits."
	parser.AttachSubcommand(check, 1)
	var checkConfig configCheck
	checkConfig.register(parser)
	if err := parser.ParseArgs(args); err != nil {
		return err
	}
	if checkConfig.command.Used {
		return checkConfig.run(os.Stdout)
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
	return serve(loaded, readSettings, hup, dial)
}

// serve runs an entry host until a signal ends it. Each signal on hup makes the host
// read the settings again with readSettings.
func serve(initial platform.Settings, readSettings func() (platform.Settings, error), hup <-chan os.Signal, dial DialServer) error {
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
	host, err := edge.New(edge.Options{Settings: initial, Reload: reload, ReadSettings: readSettings, LogOutput: os.Stdout, DialServer: dial})
	if err != nil {
		return err
	}
	return host.Run(ctx)
}
