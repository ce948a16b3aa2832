package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/spec"
)

// parseInto parses text into the field that target points to. It returns the problem, or "" if the
// text is valid.
func (k setting) parseInto(target any, text string) string {
	switch field := target.(type) {
	case *string:
		*field = text
		return ""
	case *model.Instance:
		return parseName(field, text)
	case *model.Zone:
		return parseName(field, text)
	case *model.Region:
		return parseName(field, text)
	case *[]model.Instance:
		return parseNames(field, text)
	case *bool:
		return parseBool(field, text)
	case *netip.AddrPort:
		return parseAddress(field, text)
	case *Level:
		return parseLevel(field, text)
	case *int:
		return parseInt(k, field, text)
	case *clock.Millis:
		return parseDuration(k, field, text)
	case *Bytes:
		return parseBytes(k, field, text)
	default:
		return fmt.Sprintf("has the unsupported field type %T", target)
	}
}

// valueType describes the type and unit of the value for the reference.
func (k setting) valueType() string {
	switch k.field(&Settings{}).(type) {
	case *string:
		return "path"
	case *[]model.Instance:
		return "list of instances"
	case *bool:
		return "true or false"
	case *netip.AddrPort:
		return "IP number:port"
	case *Level:
		return "level"
	case *int:
		return "number"
	case *clock.Millis:
		return "duration (ms, s, m, h)"
	case *Bytes:
		return "bytes (KiB, MiB)"
	default:
		return "name"
	}
}

// limits describes the bounds of the value, if it has any.
func (k setting) limits() string {
	if k.max == 0 {
		return ""
	}
	switch k.field(&Settings{}).(type) {
	case *clock.Millis:
		return formatDuration(k.min) + " to " + formatDuration(k.max)
	case *Bytes:
		return formatBytes(k.min) + " to " + formatBytes(k.max)
	default:
		return strconv.FormatInt(k.min, 10) + " to " + strconv.FormatInt(k.max, 10)
	}
}

func (k setting) checkLimits(n int64, text string) string {
	if n >= k.min && n <= k.max {
		return ""
	}
	return fmt.Sprintf("%s is outside the limits, want %s", text, k.limits())
}

func parseName[T ~string](field *T, text string) string {
	if err := spec.CheckName(text); err != nil {
		return err.Error()
	}
	*field = T(text)
	return ""
}

func parseNames(field *[]model.Instance, text string) string {
	var names []model.Instance
	for part := range strings.SplitSeq(text, ",") {
		var name model.Instance
		if problem := parseName(&name, strings.TrimSpace(part)); problem != "" {
			return problem
		}
		if slices.Contains(names, name) {
			return fmt.Sprintf("%s is listed more than once", name)
		}
		names = append(names, name)
	}
	*field = names
	return ""
}

func parseBool(field *bool, text string) string {
	if text != "true" && text != "false" {
		return fmt.Sprintf("%q is neither true nor false", text)
	}
	*field = text == "true"
	return ""
}

func parseAddress(field *netip.AddrPort, text string) string {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return fmt.Sprintf("%q is not an IP address and port, want for example 10.0.0.1:7000", text)
	}
	*field = address
	return ""
}

func parseLevel(field *Level, text string) string {
	levels := []Level{LevelDebug, LevelInfo, LevelWarn, LevelError}
	if !slices.Contains(levels, Level(text)) {
		return fmt.Sprintf("%q is not one of debug, info, warn, error", text)
	}
	*field = Level(text)
	return ""
}

func parseInt(k setting, field *int, text string) string {
	n, err := strconv.Atoi(text)
	if err != nil {
		return fmt.Sprintf("%q is not an integer", text)
	}
	*field = n
	return k.checkLimits(int64(n), text)
}

func parseDuration(k setting, field *clock.Millis, text string) string {
	d, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Sprintf("%q is not a duration, want for example 500ms, 30s or 5m", text)
	}
	if d%time.Millisecond != 0 {
		return fmt.Sprintf("%q is finer than one millisecond", text)
	}
	*field = clock.FromDuration(d)
	return k.checkLimits(int64(*field), text)
}

func parseBytes(k setting, field *Bytes, text string) string {
	digits, factor := text, int64(0)
	if head, ok := strings.CutSuffix(text, "KiB"); ok {
		digits, factor = head, kib
	}
	if head, ok := strings.CutSuffix(text, "MiB"); ok {
		digits, factor = head, mib
	}
	n, err := strconv.ParseInt(digits, 10, 32) // 32 bits, so that the product cannot overflow
	if err != nil || factor == 0 {
		return fmt.Sprintf("%q is not a size in bytes, want for example 64KiB or 64MiB", text)
	}
	*field = Bytes(n * factor)
	return k.checkLimits(n*factor, text)
}

func formatBytes(n int64) string {
	if n%mib == 0 {
		return strconv.FormatInt(n/mib, 10) + "MiB"
	}
	return strconv.FormatInt(n/kib, 10) + "KiB"
}

// formatDuration omits the zero seconds that the standard library prints after minutes.
func formatDuration(n int64) string {
	text := clock.Millis(n).String()
	if head, ok := strings.CutSuffix(text, "m0s"); ok {
		return head + "m"
	}
	return text
}

func compareStrings[T ~string](a, b T) int { return cmp.Compare(a, b) }
