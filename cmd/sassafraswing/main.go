// Command sassafraswing is the request scheduler's daemon.
package main

import (
	"os"

	"github.com/sassafraswing/sassafraswing/internal/node/swcommand"
)

func main() { os.Exit(swcommand.Main(os.Args[1:], os.Stdout, os.Stderr)) }
