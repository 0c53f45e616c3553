// Command measure runs real processes and prints one JSON object a line.
package main

import (
	"os"

	"github.com/dragonflydoor/dragonflydoor/internal/measurer"
)

func main() {
	os.Exit(measurer.Main(os.Args[1:], os.Stdout, os.Stderr))
}
