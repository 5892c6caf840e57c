// Command sassafraswing is the request scheduler's daemon.
package main

import (
	"os"

	"github.com/sassafraswing/sassafraswing/internal/node/swcommand"
	"github.com/sassafraswing/sassafraswing/platform"
	"github.com/sassafraswing/sassafraswing/platform/swsite"
)

func main() {
	os.Exit(swcommand.Main(os.Args[1:], os.Stdout, os.Stderr, swcommand.Adapters{platform.AdapterName: platform.New}, swsite.RunRollout))
}
