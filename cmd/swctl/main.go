// Command swctl is the operators' command line of sassafraswing.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/sassafraswing/sassafraswing/internal/operator/swclient"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := swclient.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
