// Command swstand runs a stand-in for an engine, a plain service or the platform, or for a site of the operator platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sassafraswing/sassafraswing/internal/stand/swmain"
	"github.com/sassafraswing/sassafraswing/platform/swsite"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(swmain.Run(ctx, os.Args[1:], os.Stderr, swsite.Kind))
}
