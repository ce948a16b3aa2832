package spec

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"vanillabridge/core/fault"
)

// Parse reads INI text. It refuses text that is too large or not INI; everything else,
// unknown sections and keys included, is kept for Check to report.
func Parse(text string) (Document, error) {
	if err := checkText(text); err != nil {
		return Document{}, err
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true, // so that a key that is set twice is seen
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true, // so that a section that is opened twice is seen
		IgnoreContinuation:         true,
		KeyValueDelimiters:         "=",
		SpaceBeforeInlineComment:   true,
	}, []byte(text))
	if err != nil {
		return Document{}, Problems{{Text: lineOf(text, err) + "not INI text: " + strings.TrimSpace(err.Error())}}
	}
	var d Document
	for _, s := range file.Sections() {
		read := readSection(s)
		if read.kind == noHeader && len(read.pairs) == 0 {
			continue
		}
		d.sections = append(d.sections, read)
	}
	return d, nil
}

// lineOf finds the line that the library quotes at the end of its error, for which it gives no
// number.
func lineOf(text string, err error) string {
	message, number := strings.TrimSpace(err.Error()), 0
	for line := range strings.Lines(text) {
		number++
		if quoted := strings.TrimSpace(line); quoted != "" && strings.HasSuffix(message, ": "+quoted) {
			return fmt.Sprintf("line %d: ", number)
		}
	}
	return ""
}

// tooLarge is the error for text beyond a size limit; errors.Is finds fault.ErrTooLarge.
type tooLarge string

func (t tooLarge) Error() string { return string(t) }

// Is makes errors.Is find fault.ErrTooLarge.
func (tooLarge) Is(target error) bool { return target == fault.ErrTooLarge }

func tooLargef(format string, args ...any) error { return tooLarge(fmt.Sprintf(format, args...)) }

func checkText(text string) error {
	if len(text) > MaxText {
		return tooLargef("configuration has %d bytes, limit %d", len(text), MaxText)
	}
	sections, keys, number := 0, 0, 0
	for line := range strings.Lines(text) {
		number++
		if len(line) > MaxLine {
			return tooLargef("line %d has %d bytes, limit %d", number, len(line), MaxLine)
		}
		keys++
		if strings.HasPrefix(strings.TrimSpace(line), "[") {
			sections, keys = sections+1, 0
		}
		if sections > MaxSections {
			return tooLargef("line %d: more than %d sections", number, MaxSections)
		}
		if keys > maxLines {
			return tooLargef("line %d: more than %d lines in a section", number, maxLines)
		}
		if i := strings.IndexFunc(line, isControl); i >= 0 {
			c, _ := utf8.DecodeRuneInString(line[i:])
			return Problems{{Text: fmt.Sprintf("line %d: control character %q", number, c)}}
		}
	}
	return nil
}

// noHeader is the kind of the section that holds the keys before the first header.
const noHeader Kind = "DEFAULT"

// maxLines bounds the lines of a section, comments included.
const maxLines = 1000

func isControl(c rune) bool {
	return c < ' ' && c != '\t' && c != '\n' && c != '\r' || c == 0x7f || c == 0xfeff
}

func readSection(s *ini.Section) section {
	words := strings.Fields(s.Name())
	if s.Name() == ini.DefaultSection {
		words = []string{string(noHeader)}
	}
	out := section{}
	if len(words) > 0 {
		out.kind = Kind(words[0])
		out.name = strings.Join(words[1:], " ")
	}
	for _, k := range s.Keys() {
		values := k.ValueWithShadows()
		if len(values) == 0 {
			values = []string{k.Value()}
		}
		for _, v := range values {
			out.pairs = append(out.pairs, pair{k.Name(), canonical(out.kind, k.Name(), v)})
		}
	}
	return out
}

// canonical writes a value in the form that Print uses, so that 1m and 60s are no difference.
func canonical(kind Kind, name, text string) string {
	k, ok := findKey(kind, name)
	if !ok {
		return text
	}
	v, err := k.unit.read(text)
	if err != nil {
		return text
	}
	return k.unit.print(v)
}
