// Command load runs load tests against entry hosts on the local machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"bilberrydale/internal/loadctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := loadctl.Run(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}
