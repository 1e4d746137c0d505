// Command bilberryedge is the daemon of an entry host on a platform that stores
// configuration and backend servers in its object API.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"bilberrydale/internal/edgedaemon"
)

func main() {
	// This comes first: SIGHUP requests a reload of the settings, but until it is
	// handled, it ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	if err := edgedaemon.Run(os.Args[1:], hup, nil); err != nil {
		fmt.Fprintln(os.Stderr, "bilberryedge:", err)
		os.Exit(1)
	}
}
