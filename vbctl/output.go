package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"vanillabridge/core/spec"
)

// print writes the answer as JSON, or as text by the given function.
func (a *app) print(answer any, text func(io.Writer)) error {
	if a.output == outputJSON {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	table := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	text(table)
	return table.Flush()
}

// printPlain writes the answer as JSON, or the text as it is.
func (a *app) printPlain(answer any, text string) error {
	if a.output == outputJSON {
		return a.print(answer, nil)
	}
	_, err := io.WriteString(a.out, text)
	return err
}

// readFile reads a configuration file, or standard input for "-".
func (a *app) readFile(name string) (string, error) {
	in := a.in
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return "", failed("%v", err)
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	text, err := io.ReadAll(io.LimitReader(in, spec.MaxTextBytes+1))
	if err != nil {
		return "", failed("read %s: %v", name, err)
	}
	if len(text) > spec.MaxTextBytes {
		return "", failed("%s is longer than %d bytes", name, spec.MaxTextBytes)
	}
	return string(text), nil
}

func line(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}
