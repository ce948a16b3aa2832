package config

import (
	"bufio"
	"fmt"
	"io"
)

// WriteReference writes the settings reference as Markdown; docs/settings.md holds its output.
func WriteReference(w io.Writer) error {
	out := bufio.NewWriter(w)
	_, _ = out.WriteString(`# Settings of the daemon

This page is generated from the table in ` + "`vbridged/config`" + `. The daemon reads its settings from the
INI file that ` + "`vbridged serve --settings FILE`" + ` names. It rejects unknown sections and keys, missing
required keys, wrong units and values outside the limits: it prints one line for each, with the
file, the section and the key, and exits with status 2. List items are separated by commas.

| section | key | type and unit | default | limits | meaning |
|---|---|---|---|---|---|
`)
	for _, k := range settingTable {
		fallback := codeSpan(k.defaultText)
		if k.required {
			fallback = "required"
		}
		_, _ = fmt.Fprintf(out, "| %s | `%s` | %s | %s | %s | %s |\n", codeSpan("["+k.section+"]"), k.name, k.valueType(), fallback, k.limits(), k.doc)
	}
	for _, l := range dynamicSections {
		_, _ = fmt.Fprintf(out, "| %s | %s | %s | | | %s |\n", codeSpan("["+l.section+"]"), l.keyDoc, l.valueForm, l.doc)
	}
	return out.Flush()
}

func codeSpan(text string) string {
	if text == "" {
		return "empty"
	}
	return "`" + text + "`"
}
