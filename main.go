// Command pistachiolead manages the capacity and maintenance of a fleet.
package main

import (
	"os"
	_ "runtime/cgo" // links the program to the C library

	"github.com/pistachiolead/pistachiolead/command"
)

func main() {
	os.Exit(command.Run(os.Args, os.Stdout, os.Stderr))
}
