// Command bilberryctl is the command line tool for operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"bilberrydale/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := ctl.Run(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "bilberryctl:", err)
		os.Exit(1)
	}
}
