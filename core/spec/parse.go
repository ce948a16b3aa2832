package spec

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"vanillabridge/core/fault"
)

// Parse parses INI text. It returns an error if the text is too large or is not INI. Unknown
// sections and keys are kept, so that Check can report them.
func Parse(text string) (Document, error) {
	if err := checkTextLimits(text); err != nil {
		return Document{}, err
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true, // keeps duplicate keys, for Check to report
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true, // keeps duplicate sections, for Check to report
		IgnoreContinuation:         true,
		KeyValueDelimiters:         "=",
		SpaceBeforeInlineComment:   true,
	}, []byte(text))
	if err != nil {
		return Document{}, Problems{{Text: errorLinePrefix(text, err) + "not INI text: " + strings.TrimSpace(err.Error())}}
	}
	var d Document
	for _, s := range file.Sections() {
		converted := convertSection(s)
		if converted.kind == kindNoHeader && len(converted.pairs) == 0 {
			continue
		}
		d.sections = append(d.sections, converted)
	}
	return d, nil
}

// errorLinePrefix returns "line N: " for a parse error, or "" if the line is not found. The INI
// library gives no line number, but quotes the line at the end of its error.
func errorLinePrefix(text string, err error) string {
	message, number := strings.TrimSpace(err.Error()), 0
	for line := range strings.Lines(text) {
		number++
		if quoted := strings.TrimSpace(line); quoted != "" && strings.HasSuffix(message, ": "+quoted) {
			return fmt.Sprintf("line %d: ", number)
		}
	}
	return ""
}

// tooLargeError reports text that exceeds a size limit; it matches fault.ErrTooLarge.
type tooLargeError string

func (t tooLargeError) Error() string { return string(t) }

// Is reports whether target is fault.ErrTooLarge.
func (tooLargeError) Is(target error) bool { return target == fault.ErrTooLarge }

func newTooLargeErrorf(format string, args ...any) error {
	return tooLargeError(fmt.Sprintf(format, args...))
}

func checkTextLimits(text string) error {
	if len(text) > MaxTextBytes {
		return newTooLargeErrorf("configuration has %d bytes, limit %d", len(text), MaxTextBytes)
	}
	sections, keys, number := 0, 0, 0
	for line := range strings.Lines(text) {
		number++
		if len(line) > MaxLineBytes {
			return newTooLargeErrorf("line %d has %d bytes, limit %d", number, len(line), MaxLineBytes)
		}
		keys++
		if strings.HasPrefix(strings.TrimSpace(line), "[") {
			sections, keys = sections+1, 0
		}
		if sections > MaxSections {
			return newTooLargeErrorf("line %d: more than %d sections", number, MaxSections)
		}
		if keys > maxLinesPerSection {
			return newTooLargeErrorf("line %d: more than %d lines in a section", number, maxLinesPerSection)
		}
		if i := strings.IndexFunc(line, isControl); i >= 0 {
			c, _ := utf8.DecodeRuneInString(line[i:])
			return Problems{{Text: fmt.Sprintf("line %d: control character %q", number, c)}}
		}
	}
	return nil
}

// kindNoHeader is the kind of the section that holds the keys before the first section header.
const kindNoHeader Kind = "DEFAULT"

// maxLinesPerSection bounds the lines of a section, including comments.
const maxLinesPerSection = 1000

func isControl(c rune) bool {
	return c < ' ' && c != '\t' && c != '\n' && c != '\r' || c == 0x7f || c == 0xfeff
}

func convertSection(s *ini.Section) section {
	words := strings.Fields(s.Name())
	if s.Name() == ini.DefaultSection {
		words = []string{string(kindNoHeader)}
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
			out.pairs = append(out.pairs, pair{k.Name(), canonicalValue(out.kind, k.Name(), v)})
		}
	}
	return out
}

// canonicalValue returns a value in the form that Print uses, so that Diff treats 1m and 60s as
// equal. A value that cannot be parsed is returned unchanged.
func canonicalValue(kind Kind, name, text string) string {
	k, ok := findKey(kind, name)
	if !ok {
		return text
	}
	v, err := k.valueType.parse(text)
	if err != nil {
		return text
	}
	return k.valueType.format(v)
}
