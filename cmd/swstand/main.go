// Command swstand runs a stand-in for an engine, a plain service or the platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sassafraswing/sassafraswing/internal/stand/swmain"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(swmain.Run(ctx, os.Args[1:], os.Stderr))
}
