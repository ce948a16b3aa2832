package spec

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// valueType is the type of a value, and the unit of a number.
type valueType string

const (
	typeMillicores valueType = "millicores"
	typeMebibytes  valueType = "MiB"
	typeNumber     valueType = "number"
	typePercent    valueType = "percent"
	typeDuration   valueType = "duration"
	typeBool       valueType = "true or false"
	typeUrgency    valueType = "urgency"
	typeZones      valueType = "list of zones"
	typeName       valueType = "name"
	typeRunLabel   valueType = "label"
)

// unitSuffixes holds the suffix of each numeric type. A number without its suffix is refused,
// because a bare 2 could mean 2 cores or 2 millicores.
var unitSuffixes = map[valueType]string{typeMillicores: "m", typeMebibytes: "Mi", typeNumber: "", typePercent: "%"}

// value is a parsed value: number holds numbers, durations in milliseconds, booleans (0 or 1)
// and urgencies; text holds names and run labels.
type value struct {
	number int64
	text   string
	zones  []model.Zone
}

// parse parses text. The error does not name the section and the key; the caller adds them.
func (t valueType) parse(text string) (value, error) {
	switch t {
	case typeDuration:
		return parseDuration(text)
	case typeBool:
		return parseBool(text)
	case typeUrgency:
		urgency, err := model.ParseUrgency(text)
		return value{number: int64(urgency)}, err
	case typeZones:
		return parseZones(text)
	case typeName:
		return value{text: text}, CheckName(text)
	case typeRunLabel:
		return value{text: text}, checkName(text, ":")
	default:
		return parseNumber(text, unitSuffixes[t])
	}
}

// format is the inverse of parse.
func (t valueType) format(v value) string {
	switch t {
	case typeDuration:
		return formatDuration(clock.Millis(v.number))
	case typeBool:
		return strconv.FormatBool(v.number != 0)
	case typeUrgency:
		return model.Urgency(v.number).String()
	case typeZones:
		return formatZones(v.zones)
	case typeName, typeRunLabel:
		return v.text
	default:
		return strconv.FormatInt(v.number, 10) + unitSuffixes[t]
	}
}

func parseNumber(text, suffix string) (value, error) {
	digits, ok := strings.CutSuffix(text, suffix)
	if !ok {
		return value{}, fmt.Errorf("%q lacks the unit, want a whole number followed by %s", text, suffix)
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return value{}, fmt.Errorf("%q is not a whole number%s", text, suffixHint(suffix))
	}
	return value{number: n}, nil
}

func suffixHint(suffix string) string {
	if suffix == "" {
		return ""
	}
	return " followed by " + suffix
}

func parseDuration(text string) (value, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return value{}, fmt.Errorf("%q is not a duration, want for example 500ms, 30s, 5m or 2h", text)
	}
	if d%time.Millisecond != 0 {
		return value{}, fmt.Errorf("%q is finer than one millisecond", text)
	}
	return value{number: int64(clock.FromDuration(d))}, nil
}

// formatDuration uses the largest unit that gives a whole number.
func formatDuration(m clock.Millis) string {
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

func parseBool(text string) (value, error) {
	switch text {
	case "true":
		return value{number: 1}, nil
	case "false":
		return value{}, nil
	default:
		return value{}, fmt.Errorf("%q is neither true nor false", text)
	}
}

func parseZones(text string) (value, error) {
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

func formatZones(zones []model.Zone) string {
	parts := make([]string, len(zones))
	for i, z := range zones {
		parts[i] = string(z)
	}
	return strings.Join(parts, ", ")
}

// CheckName returns an error if the name would need quoting in INI, URLs, headers or job
// identifiers.
func CheckName(name string) error { return checkName(name, "") }

func checkName(name, extraChars string) error {
	if name == "" {
		return fmt.Errorf("is empty")
	}
	if len(name) > MaxNameBytes {
		return fmt.Errorf("has %d bytes, limit %d", len(name), MaxNameBytes)
	}
	for i, c := range name {
		if !isLetterOrDigit(c) && (i == 0 || !strings.ContainsRune("._-"+extraChars, c)) {
			return fmt.Errorf("%q contains %q; allowed are letters, digits and ._-%s after the first character", name, c, extraChars)
		}
	}
	return nil
}

func isLetterOrDigit(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}
