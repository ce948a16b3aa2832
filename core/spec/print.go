package spec

import (
	"bufio"
	"io"
	"strings"
)

// Print writes the document as INI text that Parse reads back. It fails if a name or a value
// has characters that the text cannot carry, which keeps a name from adding sections.
func (d Document) Print(w io.Writer) error {
	var problems Problems
	for _, s := range d.sections {
		problems = append(problems, s.unprintable()...)
	}
	if len(problems) > 0 {
		return problems
	}
	out := bufio.NewWriter(w)
	for i, s := range d.sorted() {
		if i > 0 {
			_, _ = out.WriteString("\n")
		}
		_, _ = out.WriteString("[" + s.title() + "]\n")
		for _, p := range s.pairs {
			_, _ = out.WriteString(p.key + " = " + p.value + "\n")
		}
	}
	return out.Flush()
}

// Text returns the document as INI text; it fails like Print.
func (d Document) Text() (string, error) {
	var b strings.Builder
	if err := d.Print(&b); err != nil {
		return "", err
	}
	return b.String(), nil
}

func (s section) unprintable() Problems {
	var problems Problems
	if !isWord(string(s.kind)) || (s.name != "" && !isWord(s.name)) {
		problems = append(problems, Problem{Section: s.title(), Text: "name has characters that a configuration cannot hold"})
	}
	for _, p := range s.pairs {
		if !isWord(p.key) || !isPlain(p.value) {
			problems = append(problems, Problem{Section: s.title(), Key: p.key, Text: "has characters that a configuration cannot hold"})
		}
	}
	return problems
}

func isWord(text string) bool {
	return isPlain(text) && text != "" && !strings.ContainsAny(text, " =:") && text != "DEFAULT" && text != "-"
}

// isPlain reports whether the INI reader returns the text unchanged: it treats quotes, comment
// signs, backslashes, brackets and outer spaces specially.
func isPlain(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return strings.TrimSpace(text) == text && !strings.ContainsAny(text, "\"'`;#\\[]")
}
