package config

import (
	"bufio"
	"fmt"
	"io"
)

// Reference writes the settings reference as Markdown; docs/settings.md holds its output.
func Reference(w io.Writer) error {
	out := bufio.NewWriter(w)
	_, _ = out.WriteString(`# Settings of the daemon

This page is printed from the table in ` + "`vbridged/config`" + `. The daemon reads its settings as INI from the
file that ` + "`vbridged serve --settings FILE`" + ` names. It refuses unknown sections and keys, missing
required keys, wrong units and values outside the limits with one line for each, which names the
file, the section and the key, and exits with status 2. A list separates its items with commas.

| section | key | type and unit | default | limits | meaning |
|---|---|---|---|---|---|
`)
	for _, k := range table {
		fallback := code(k.fallback)
		if k.required {
			fallback = "required"
		}
		_, _ = fmt.Fprintf(out, "| %s | `%s` | %s | %s | %s | %s |\n", code("["+k.section+"]"), k.name, k.unit(), fallback, k.limits(), k.doc)
	}
	for _, l := range lists {
		_, _ = fmt.Fprintf(out, "| %s | %s | %s | | | %s |\n", code("["+l.section+"]"), l.key, l.form, l.doc)
	}
	return out.Flush()
}

func code(text string) string {
	if text == "" {
		return "empty"
	}
	return "`" + text + "`"
}
