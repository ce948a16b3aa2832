package config

import (
	"os"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"vanillabridge/core/fault"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// Problem is one reason why settings are rejected. It matches fault.ErrInvalid.
type Problem struct {
	File    string
	Section string
	Key     string
	Text    string
}

// Error returns "file: [section] key: text" as one line.
func (p Problem) Error() string {
	parts := []string{p.File}
	if p.Section != "" {
		parts = append(parts, strings.TrimSpace("["+p.Section+"] "+p.Key))
	}
	return strings.Join(append(parts, p.Text), ": ")
}

// Is makes errors.Is find fault.ErrInvalid.
func (Problem) Is(target error) bool { return target == fault.ErrInvalid }

// Problems is the error for rejected settings. It matches fault.ErrInvalid.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is find fault.ErrInvalid.
func (Problems) Is(target error) bool { return target == fault.ErrInvalid }

// Load reads and validates a settings file.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, Problems{{File: file, Text: "cannot be read: " + err.Error()}}
	}
	return Parse(file, text)
}

// Parse reads and validates the text of a settings file; file is its name in errors.
func Parse(file string, text []byte) (Settings, error) {
	if len(text) > maxFileBytes {
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
		return Settings{}, Problems{{File: file, Text: "is not valid INI: " + collapseWhitespace(err.Error())}}
	}
	r := &reader{file: file}
	for _, s := range source.Sections() {
		r.readSection(s)
	}
	r.applyDefaults()
	if len(r.problems) == 0 {
		r.validate()
	}
	if len(r.problems) > 0 {
		return Settings{}, r.problems
	}
	return r.settings, nil
}

type reader struct {
	file     string
	settings Settings
	setKeys  []string // "section key" of each key in the file
	problems Problems
}

func (r *reader) addProblem(section, key, text string) {
	r.problems = append(r.problems, Problem{r.file, section, key, collapseWhitespace(text)})
}

func (r *reader) readSection(s *ini.Section) {
	for _, k := range s.Keys() {
		name := s.Name()
		if name == ini.DefaultSection {
			r.addProblem("", "", "key "+k.Name()+" precedes the first section")
			continue
		}
		if len(k.ValueWithShadows()) > 1 {
			r.addProblem(name, k.Name(), "is set more than once")
			continue
		}
		r.readValue(name, k.Name(), k.Value())
	}
	if !isKnownSection(s.Name()) {
		r.addProblem(s.Name(), "", "unknown section")
	}
}

func (r *reader) readValue(section, name, text string) {
	for _, l := range dynamicSections {
		if l.section == section {
			r.addProblemIfAny(section, name, l.parse(&r.settings, name, text))
			return
		}
	}
	i := slices.IndexFunc(settingTable, func(k setting) bool { return k.section == section && k.name == name })
	if i < 0 {
		switch reason := removedKeys[section+" "+name]; {
		case reason != "":
			r.addProblem(section, name, reason)
		case isKnownSection(section):
			r.addProblem(section, name, "unknown key")
		}
		return
	}
	if text == "" && !settingTable[i].required && settingTable[i].defaultText == "" {
		return
	}
	r.setKeys = append(r.setKeys, section+" "+name)
	r.addProblemIfAny(section, name, settingTable[i].parseInto(settingTable[i].field(&r.settings), text))
}

func (r *reader) addProblemIfAny(section, name, problem string) {
	if problem != "" {
		r.addProblem(section, name, problem)
	}
}

// applyDefaults fills in the defaults of keys that are not set, and reports missing required keys.
func (r *reader) applyDefaults() {
	for _, k := range settingTable {
		switch {
		case slices.Contains(r.setKeys, k.section+" "+k.name):
		case k.required:
			r.addProblem(k.section, k.name, "is missing: "+k.doc)
		case k.defaultText != "":
			r.addProblemIfAny(k.section, k.name, k.parseInto(k.field(&r.settings), k.defaultText))
		}
	}
}

func isKnownSection(name string) bool {
	return name == ini.DefaultSection ||
		slices.ContainsFunc(settingTable, func(k setting) bool { return k.section == name }) ||
		slices.ContainsFunc(dynamicSections, func(l dynamicSection) bool { return l.section == name })
}

func collapseWhitespace(text string) string { return strings.Join(strings.Fields(text), " ") }
