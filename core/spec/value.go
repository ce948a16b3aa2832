package spec

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// unit is the form of a value.
type unit string

const (
	unitCores    unit = "millicores"
	unitMemory   unit = "MiB"
	unitCount    unit = "number"
	unitPercent  unit = "percent"
	unitDuration unit = "duration"
	unitFlag     unit = "true or false"
	unitUrgency  unit = "urgency"
	unitZones    unit = "list of zones"
	unitName     unit = "name"
	unitLabel    unit = "label"
)

// suffixes of numbers; a number without its suffix is refused, because 2 cores and 2 millicores
// are both plausible readings of a bare 2.
var suffixes = map[unit]string{unitCores: "m", unitMemory: "Mi", unitCount: "", unitPercent: "%"}

// value is a parsed value: n for numbers, durations (in milliseconds), flags and urgencies, text
// for names and labels.
type value struct {
	n     int64
	text  string
	zones []model.Zone
}

// read parses text; the error says what is wrong without the section and the key.
func (u unit) read(text string) (value, error) {
	switch u {
	case unitDuration:
		return readDuration(text)
	case unitFlag:
		return readFlag(text)
	case unitUrgency:
		urgency, err := model.ParseUrgency(text)
		return value{n: int64(urgency)}, err
	case unitZones:
		return readZones(text)
	case unitName:
		return value{text: text}, CheckName(text)
	case unitLabel:
		return value{text: text}, checkName(text, ":")
	default:
		return readNumber(text, suffixes[u])
	}
}

// print is the inverse of read.
func (u unit) print(v value) string {
	switch u {
	case unitDuration:
		return printDuration(clock.Millis(v.n))
	case unitFlag:
		return strconv.FormatBool(v.n != 0)
	case unitUrgency:
		return model.Urgency(v.n).String()
	case unitZones:
		return printZones(v.zones)
	case unitName, unitLabel:
		return v.text
	default:
		return strconv.FormatInt(v.n, 10) + suffixes[u]
	}
}

func readNumber(text, suffix string) (value, error) {
	digits, ok := strings.CutSuffix(text, suffix)
	if !ok {
		return value{}, fmt.Errorf("%q lacks the unit, want a whole number followed by %s", text, suffix)
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return value{}, fmt.Errorf("%q is not a whole number%s", text, followed(suffix))
	}
	return value{n: n}, nil
}

func followed(suffix string) string {
	if suffix == "" {
		return ""
	}
	return " followed by " + suffix
}

func readDuration(text string) (value, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return value{}, fmt.Errorf("%q is not a duration, want for example 500ms, 30s, 5m or 2h", text)
	}
	if d%time.Millisecond != 0 {
		return value{}, fmt.Errorf("%q is finer than one millisecond", text)
	}
	return value{n: int64(clock.FromStd(d))}, nil
}

// printDuration uses the largest unit that needs no fraction.
func printDuration(m clock.Millis) string {
	for _, u := range []struct {
		size clock.Millis
		name string
	}{{clock.Hour, "h"}, {clock.Minute, "m"}, {clock.Second, "s"}} {
		if m != 0 && m%u.size == 0 {
			return strconv.FormatInt(int64(m/u.size), 10) + u.name
		}
	}
	return strconv.FormatInt(int64(m), 10) + "ms"
}

func readFlag(text string) (value, error) {
	switch text {
	case "true":
		return value{n: 1}, nil
	case "false":
		return value{}, nil
	default:
		return value{}, fmt.Errorf("%q is neither true nor false", text)
	}
}

func readZones(text string) (value, error) {
	var zones []model.Zone
	for part := range strings.SplitSeq(text, ",") {
		name := strings.TrimSpace(part)
		if err := CheckName(name); err != nil {
			return value{}, err
		}
		zones = append(zones, model.Zone(name))
	}
	return value{zones: zones}, nil
}

func printZones(zones []model.Zone) string {
	parts := make([]string, len(zones))
	for i, z := range zones {
		parts[i] = string(z)
	}
	return strings.Join(parts, ", ")
}

// CheckName refuses names that need quoting in INI, URLs, headers or job identifiers.
func CheckName(name string) error { return checkName(name, "") }

func checkName(name, extra string) error {
	if name == "" {
		return fmt.Errorf("is empty")
	}
	if len(name) > MaxName {
		return fmt.Errorf("has %d bytes, limit %d", len(name), MaxName)
	}
	for i, c := range name {
		if !isLetterOrDigit(c) && (i == 0 || !strings.ContainsRune("._-"+extra, c)) {
			return fmt.Errorf("%q contains %q; allowed are letters, digits and ._-%s after the first character", name, c, extra)
		}
	}
	return nil
}

func isLetterOrDigit(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}
