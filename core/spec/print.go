package spec

import (
	"bufio"
	"io"
	"strings"
)

// Print writes the document as INI text that Parse accepts. It fails if a name or a value has
// characters that need quoting, so that a name cannot inject sections.
func (d Document) Print(w io.Writer) error {
	var problems Problems
	for _, s := range d.sections {
		problems = append(problems, s.checkPrintable()...)
	}
	if len(problems) > 0 {
		return problems
	}
	out := bufio.NewWriter(w)
	for i, s := range d.sortedSections() {
		if i > 0 {
			_, _ = out.WriteString("\n")
		}
		_, _ = out.WriteString("[" + s.header() + "]\n")
		for _, p := range s.pairs {
			_, _ = out.WriteString(p.key + " = " + p.value + "\n")
		}
	}
	return out.Flush()
}

// Text returns the document as INI text. It fails under the same conditions as Print.
func (d Document) Text() (string, error) {
	var b strings.Builder
	if err := d.Print(&b); err != nil {
		return "", err
	}
	return b.String(), nil
}

func (s section) checkPrintable() Problems {
	var problems Problems
	if !isPlainName(string(s.kind)) || (s.name != "" && !isPlainName(s.name)) {
		problems = append(problems, Problem{Section: s.header(), Text: "name has characters that cannot be written as INI text"})
	}
	for _, p := range s.pairs {
		if !isPlainName(p.key) || !isPlainValue(p.value) {
			problems = append(problems, Problem{Section: s.header(), Key: p.key, Text: "has characters that cannot be written as INI text"})
		}
	}
	return problems
}

func isPlainName(text string) bool {
	return isPlainValue(text) && text != "" && !strings.ContainsAny(text, " =:") && text != "DEFAULT" && text != "-"
}

// isPlainValue reports whether the INI library parses the text back unchanged. The library gives
// quotes, comment signs, backslashes, brackets and surrounding spaces a special meaning.
func isPlainValue(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return strings.TrimSpace(text) == text && !strings.ContainsAny(text, "\"'`;#\\[]")
}
