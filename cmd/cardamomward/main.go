// Command cardamomward schedules the model and service calls of agent programs.
package main

import (
	"os"

	"cardamomward/command/cmdutil"
	"cardamomward/command/root"
)

func main() {
	os.Exit(root.Main(cmdutil.NewFactory(), os.Args))
}
