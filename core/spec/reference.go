package spec

import (
	"bufio"
	"fmt"
	"io"
)

// Reference writes the table of sections and keys as Markdown. docs/configuration.md includes
// its output.
func Reference(w io.Writer) error {
	out := bufio.NewWriter(w)
	_, _ = out.WriteString("| section | key | unit | if missing | limits | meaning |\n|---|---|---|---|---|---|\n")
	for _, kind := range Kinds() {
		title := "[" + string(kind) + " NAME]"
		if kind == KindCell {
			title = "[cell]"
		}
		for _, k := range keysByKind[kind] {
			_, _ = fmt.Fprintf(out, "| `%s` | `%s` | %s | %s | %s | %s |\n", title, k.name, k.unitColumn(), k.defaultColumn(), k.limitsColumn(), k.description)
		}
	}
	return out.Flush()
}

// unitColumn returns the value type with the suffix of its unit.
func (k keySpec) unitColumn() string {
	switch k.valueType {
	case typeMillicores, typeMebibytes, typePercent:
		return string(k.valueType) + ", `" + unitSuffixes[k.valueType] + "`"
	case typeDuration:
		return "duration, `ms` `s` `m` `h`"
	default:
		return string(k.valueType)
	}
}

func (k keySpec) defaultColumn() string {
	switch {
	case k.required:
		return "refused"
	case k.defaultText != "":
		return "`" + k.defaultText + "`"
	default:
		return "none"
	}
}

func (k keySpec) limitsColumn() string {
	if k.max == 0 {
		return ""
	}
	return k.describeLimits()
}
