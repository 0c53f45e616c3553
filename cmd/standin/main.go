// Command standin runs the stand-ins that tests and measurements need.
package main

import (
	"os"

	"github.com/dragonflydoor/dragonflydoor/internal/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:], os.Stderr))
}
