// Command swload sends the requests of a scenario to running processes and reports the results.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sassafraswing/sassafraswing/internal/load/swload"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(swload.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
