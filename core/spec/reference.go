package spec

import (
	"bufio"
	"fmt"
	"io"
)

// Reference writes the table of sections and keys as Markdown; docs/configuration.md holds its
// output.
func Reference(w io.Writer) error {
	out := bufio.NewWriter(w)
	_, _ = out.WriteString("| section | key | unit | if missing | limits | meaning |\n|---|---|---|---|---|---|\n")
	for _, kind := range Kinds() {
		title := "[" + string(kind) + " NAME]"
		if kind == KindCell {
			title = "[cell]"
		}
		for _, k := range table[kind] {
			_, _ = fmt.Fprintf(out, "| `%s` | `%s` | %s | %s | %s | %s |\n", title, k.name, k.form(), k.missing(), k.bounds(), k.doc)
		}
	}
	return out.Flush()
}

// form describes the unit with its suffix.
func (k key) form() string {
	switch k.unit {
	case unitCores, unitMemory, unitPercent:
		return string(k.unit) + ", `" + suffixes[k.unit] + "`"
	case unitDuration:
		return "duration, `ms` `s` `m` `h`"
	default:
		return string(k.unit)
	}
}

func (k key) missing() string {
	switch {
	case k.required:
		return "refused"
	case k.fallback != "":
		return "`" + k.fallback + "`"
	default:
		return "none"
	}
}

func (k key) bounds() string {
	if k.max == 0 {
		return ""
	}
	return k.limits()
}
