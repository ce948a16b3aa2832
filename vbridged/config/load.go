package config

import (
	"os"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"vanillabridge/core/fault"
)

// maxText is the longest settings file, in bytes.
const maxText = 1 << 20

// Problem is one reason why settings are refused; errors.Is finds fault.ErrInvalid.
type Problem struct {
	File    string
	Section string
	Key     string
	Text    string
}

// Error prints "file: [section] key: text" on one line.
func (p Problem) Error() string {
	parts := []string{p.File}
	if p.Section != "" {
		parts = append(parts, strings.TrimSpace("["+p.Section+"] "+p.Key))
	}
	return strings.Join(append(parts, p.Text), ": ")
}

// Is makes errors.Is find fault.ErrInvalid.
func (Problem) Is(target error) bool { return target == fault.ErrInvalid }

// Problems is the error for refused settings, one line for each problem.
type Problems []Problem

// Error prints one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is find fault.ErrInvalid.
func (Problems) Is(target error) bool { return target == fault.ErrInvalid }

// Load reads the settings file.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, Problems{{File: file, Text: "cannot be read: " + err.Error()}}
	}
	return Parse(file, text)
}

// Parse reads settings; file names them in errors.
func Parse(file string, text []byte) (Settings, error) {
	if len(text) > maxText {
		return Settings{}, Problems{{File: file, Text: "is longer than 1 MiB"}}
	}
	source, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
		KeyValueDelimiters:         "=",
		SpaceBeforeInlineComment:   true,
	}, text)
	if err != nil {
		return Settings{}, Problems{{File: file, Text: "is not INI text: " + oneLine(err.Error())}}
	}
	r := &reader{file: file}
	for _, s := range source.Sections() {
		r.section(s)
	}
	r.missing()
	if len(r.problems) == 0 {
		r.rules()
	}
	if len(r.problems) > 0 {
		return Settings{}, r.problems
	}
	return r.settings, nil
}

type reader struct {
	file     string
	settings Settings
	stated   []string // section and key
	problems Problems
}

func (r *reader) problem(section, key, text string) {
	r.problems = append(r.problems, Problem{r.file, section, key, oneLine(text)})
}

func (r *reader) section(s *ini.Section) {
	for _, k := range s.Keys() {
		name := s.Name()
		if name == ini.DefaultSection {
			r.problem("", "", "key "+k.Name()+" stands before the first section")
			continue
		}
		if len(k.ValueWithShadows()) > 1 {
			r.problem(name, k.Name(), "is set more than once")
			continue
		}
		r.value(name, k.Name(), k.Value())
	}
	if !knownSection(s.Name()) {
		r.problem(s.Name(), "", "unknown section")
	}
}

func (r *reader) value(section, name, text string) {
	for _, l := range lists {
		if l.section == section {
			r.check(section, name, l.add(&r.settings, name, text))
			return
		}
	}
	i := slices.IndexFunc(table, func(k key) bool { return k.section == section && k.name == name })
	if i < 0 {
		if knownSection(section) {
			r.problem(section, name, "unknown key")
		}
		return
	}
	if text == "" && !table[i].required && table[i].fallback == "" {
		return
	}
	r.stated = append(r.stated, section+" "+name)
	r.check(section, name, table[i].assign(table[i].target(&r.settings), text))
}

func (r *reader) check(section, name, wrong string) {
	if wrong != "" {
		r.problem(section, name, wrong)
	}
}

// missing fills in the defaults and reports required keys that are not stated.
func (r *reader) missing() {
	for _, k := range table {
		switch {
		case slices.Contains(r.stated, k.section+" "+k.name):
		case k.required:
			r.problem(k.section, k.name, "is missing: "+k.doc)
		case k.fallback != "":
			r.check(k.section, k.name, k.assign(k.target(&r.settings), k.fallback))
		}
	}
}

func knownSection(name string) bool {
	return name == ini.DefaultSection ||
		slices.ContainsFunc(table, func(k key) bool { return k.section == name }) ||
		slices.ContainsFunc(lists, func(l list) bool { return l.section == name })
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
