package main

import (
	"context"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"vanillabridge/core/model"
	"vanillabridge/core/spec"
)

const checkText = `Check reads a configuration and prints what is wrong with it, and the safe
defaults that would be filled in. It calls no server. FILE "-" is standard
input. Zones are checked only if --zone lists them.`

const checkExamples = `  vbctl check cell.ini
  vbctl check cell.ini --zone east-a=east --zone west-a=west
  go run ./cell | vbctl check -`

func (a *app) checkCommand() *cobra.Command {
	var zones []string
	command := &cobra.Command{
		Use: "check FILE", Short: "Check a configuration without submitting it",
		Long: checkText, Example: checkExamples, Args: cobra.ExactArgs(1),
		RunE: a.action(func(_ context.Context, args []string) error { return a.check(args[0], zones) }),
	}
	command.Flags().StringSliceVar(&zones, "zone", nil, "availability zones that exist, each as zone=region")
	return command
}

type checkAnswer struct {
	Accepted bool     `json:"accepted"`
	Problems []string `json:"problems,omitempty"`
	Notes    []string `json:"notes,omitempty"`
}

func (a *app) check(file string, zones []string) error {
	places, err := readPlaces(zones)
	if err != nil {
		return err
	}
	text, err := a.readFile(file)
	if err != nil {
		return err
	}
	document, err := spec.Parse(text)
	if err != nil {
		return failed("%s: %v", file, err)
	}
	_, notes, err := document.Check(places)
	answer := checkAnswer{Accepted: err == nil}
	for _, n := range notes {
		answer.Notes = append(answer.Notes, n.String())
	}
	if err != nil {
		answer.Problems = strings.Split(err.Error(), "\n")
	}
	if err := a.print(answer, answer.text); err != nil {
		return err
	}
	if !answer.Accepted {
		return failed("%s would be refused", file)
	}
	return nil
}

func (c checkAnswer) text(w io.Writer) {
	for _, p := range c.Problems {
		line(w, "error: %s", p)
	}
	for _, n := range c.Notes {
		line(w, "note: %s", n)
	}
	if c.Accepted {
		line(w, "accepted")
	}
}

func readPlaces(zones []string) ([]spec.Place, error) {
	var places []spec.Place
	for _, text := range zones {
		zone, region, ok := strings.Cut(text, "=")
		if !ok || spec.CheckName(zone) != nil || spec.CheckName(region) != nil {
			return nil, usage("--zone %q is not zone=region", text)
		}
		places = append(places, spec.Place{Zone: model.Zone(zone), Region: model.Region(region)})
	}
	return places, nil
}
