package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"vanillabridge/core/spec"
)

// writeAnswer writes the answer as JSON, or as a text table through the given function.
func (a *app) writeAnswer(answer any, text func(io.Writer)) error {
	if a.output == outputJSON {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	table := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	text(table)
	return table.Flush()
}

// writePlain writes the answer as JSON, or the text unchanged.
func (a *app) writePlain(answer any, text string) error {
	if a.output == outputJSON {
		return a.writeAnswer(answer, nil)
	}
	_, err := io.WriteString(a.out, text)
	return err
}

// readConfigFile reads a configuration file, or standard input if name is "-".
func (a *app) readConfigFile(name string) (string, error) {
	in := a.in
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return "", failureErrorf("%v", err)
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	text, err := io.ReadAll(io.LimitReader(in, spec.MaxTextBytes+1))
	if err != nil {
		return "", failureErrorf("read %s: %v", name, err)
	}
	if len(text) > spec.MaxTextBytes {
		return "", failureErrorf("read %s: configuration exceeds the limit of %d bytes", name, spec.MaxTextBytes)
	}
	return string(text), nil
}

func writeLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}
