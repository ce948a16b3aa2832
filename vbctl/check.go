package main

import (
	"context"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"vanillabridge/core/model"
	"vanillabridge/core/spec"
)

const checkText = `Check validates a configuration and prints its problems and the defaults that
would be filled in. It does not contact a server. FILE "-" means standard
input. Zone names are checked only if --zone lists the existing zones.`

const checkExamples = `  vbctl check cell.ini
  vbctl check cell.ini --zone east-a=east --zone west-a=west
  go run ./cell | vbctl check -`

func (a *app) checkCommand() *cobra.Command {
	var zones []string
	command := &cobra.Command{
		Use: "check FILE", Short: "Check a configuration without submitting it",
		Long: checkText, Example: checkExamples, Args: cobra.ExactArgs(1),
		RunE: a.withErrorStatus(func(_ context.Context, args []string) error { return a.check(args[0], zones) }),
	}
	command.Flags().StringSliceVar(&zones, "zone", nil, "existing availability zones, each as zone=region")
	return command
}

type checkResult struct {
	Accepted bool     `json:"accepted"`
	Problems []string `json:"problems,omitempty"`
	Notes    []string `json:"notes,omitempty"`
}

func (a *app) check(file string, zones []string) error {
	knownZones, err := parseKnownZones(zones)
	if err != nil {
		return err
	}
	text, err := a.readConfigFile(file)
	if err != nil {
		return err
	}
	document, err := spec.Parse(text)
	if err != nil {
		return failureErrorf("%s: %v", file, err)
	}
	_, notes, err := document.Check(knownZones)
	result := checkResult{Accepted: err == nil}
	for _, n := range notes {
		result.Notes = append(result.Notes, n.String())
	}
	if err != nil {
		result.Problems = strings.Split(err.Error(), "\n")
	}
	if err := a.writeAnswer(result, result.writeText); err != nil {
		return err
	}
	if !result.Accepted {
		return failureErrorf("%s would be refused", file)
	}
	return nil
}

func (c checkResult) writeText(w io.Writer) {
	for _, p := range c.Problems {
		writeLine(w, "error: %s", p)
	}
	for _, n := range c.Notes {
		writeLine(w, "note: %s", n)
	}
	if c.Accepted {
		writeLine(w, "accepted")
	}
}

func parseKnownZones(zones []string) ([]spec.KnownZone, error) {
	var knownZones []spec.KnownZone
	for _, text := range zones {
		zone, region, ok := strings.Cut(text, "=")
		if !ok || spec.CheckName(zone) != nil || spec.CheckName(region) != nil {
			return nil, usageErrorf("invalid --zone %q, want zone=region", text)
		}
		knownZones = append(knownZones, spec.KnownZone{Zone: model.Zone(zone), Region: model.Region(region)})
	}
	return knownZones, nil
}
