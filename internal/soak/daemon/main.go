// Command daemon is bilberryedge for the soak test: its connections to backend servers go by way of
// relays of this host alone, so that the test can cut the host off from all of them.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"bilberrydale/internal/edgedaemon"
	"bilberrydale/internal/soak/links"
)

func main() {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	if err := edgedaemon.Run(os.Args[1:], hup, dial); err != nil {
		fmt.Fprintln(os.Stderr, "daemon:", err)
		os.Exit(1)
	}
}

// dial opens a connection to a server as the file of links says.
func dial(ctx context.Context, address string) (net.Conn, error) {
	l, err := links.Read(os.Getenv(links.FileEnvVar))
	if err != nil {
		return nil, err
	}
	switch l.Cut {
	case links.Hangs:
		<-ctx.Done()
		return nil, ctx.Err()
	case links.Refuses:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	if relay := l.Relays[address]; relay != "" {
		address = relay
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}
