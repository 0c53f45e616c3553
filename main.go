// Command dragonflydoor distributes traffic profiles across a service mesh and
// carries callers' requests to targets by them.
package main

import (
	"os"

	"github.com/dragonflydoor/dragonflydoor/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
