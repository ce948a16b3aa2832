package model

import "fmt"

// Urgency is the priority class of work or of a request.
type Urgency uint8

// The classes, least urgent first.
const (
	Low Urgency = iota
	Normal
	Urgent
)

// Urgencies lists the classes, least urgent first.
func Urgencies() [3]Urgency { return [3]Urgency{Low, Normal, Urgent} }

// String returns the name of the class in configurations and headers.
func (u Urgency) String() string {
	switch u {
	case Low:
		return "low"
	case Normal:
		return "normal"
	case Urgent:
		return "urgent"
	default:
		return fmt.Sprintf("urgency(%d)", uint8(u))
	}
}

// ParseUrgency parses the name that String returns.
func ParseUrgency(s string) (Urgency, error) {
	for _, u := range Urgencies() {
		if u.String() == s {
			return u, nil
		}
	}
	return Normal, fmt.Errorf("urgency %q is none of low, normal, urgent", s)
}

// MarshalText encodes the class by its name.
func (u Urgency) MarshalText() ([]byte, error) { return []byte(u.String()), nil }

// UnmarshalText decodes the class from its name.
func (u *Urgency) UnmarshalText(text []byte) error {
	parsed, err := ParseUrgency(string(text))
	if err != nil {
		return err
	}
	*u = parsed
	return nil
}
