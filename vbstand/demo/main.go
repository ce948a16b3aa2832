// Command demo prints the configuration that demo/run.sh submits.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/vbstand/sample"
)

func main() {
	version := flag.Uint64("version", 1, "version of the configuration")
	zones := flag.String("zones", "east-a,west-a,north-a", "availability zones, separated by commas")
	mark := flag.String("mark", "", "name of a further caller that marks this document")
	taskTime := flag.Duration("time", 2*time.Second, "declared run time of the tasks of the batch and the gang")
	flag.Parse()
	var list []model.Zone
	for _, z := range strings.Split(*zones, ",") {
		list = append(list, model.Zone(z))
	}
	if err := sample.Document(*version, list, clock.FromDuration(*taskTime), *mark).Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "print configuration:", err)
		os.Exit(1)
	}
}
