package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

// ContentType is the content type of the answer to GET /v1/events: one JSON object per line.
const ContentType = "application/x-ndjson"

// maxLineBytes bounds the length of a line that ReadLines accepts.
const maxLineBytes = 64 << 10

// line is the JSON form of an entry. Kind determines the type of Event.
type line struct {
	Stamp
	Process string          `json:"process"`
	Zone    model.Zone      `json:"zone,omitempty"`
	Seq     uint64          `json:"seq"`
	Kind    Kind            `json:"kind"`
	Event   json.RawMessage `json:"event"`
}

// MarshalJSON encodes the entry as an object that includes the kind of event.
func (e Entry) MarshalJSON() ([]byte, error) {
	event, err := json.Marshal(e.Event)
	if err != nil {
		return nil, err
	}
	return json.Marshal(line{Stamp: e.Stamp, Process: e.Process, Zone: e.Zone, Seq: e.Seq, Kind: e.Event.Kind(), Event: event})
}

// UnmarshalJSON decodes the format of MarshalJSON.
func (e *Entry) UnmarshalJSON(data []byte) error {
	var l line
	if err := json.Unmarshal(data, &l); err != nil {
		return err
	}
	decodeEvent, ok := decodersByKind[l.Kind]
	if !ok {
		return fmt.Errorf("unknown kind of event %q", l.Kind)
	}
	event, err := decodeEvent(l.Event)
	if err != nil {
		return err
	}
	*e = Entry{Stamp: l.Stamp, Process: l.Process, Zone: l.Zone, Seq: l.Seq, Event: event}
	return nil
}

// WriteLines writes each entry as a line of JSON.
func WriteLines(w io.Writer, entries []Entry) error {
	out := bufio.NewWriter(w)
	encoder := json.NewEncoder(out)
	for _, e := range entries {
		if err := encoder.Encode(e); err != nil {
			return fault.Wrap(err, "write event %d of %s", e.Seq, e.Process)
		}
	}
	return out.Flush()
}

// ReadLines reads the format of WriteLines. It skips lines that are not valid events, such as
// the incomplete last line of a process that crashed, and returns their number.
func ReadLines(r io.Reader) (entries []Entry, skipped int, err error) {
	in := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, err := in.ReadSlice('\n')
		full := errors.Is(err, bufio.ErrBufferFull)
		if err != nil && !full && !errors.Is(err, io.EOF) {
			return entries, skipped, fault.Wrap(err, "read events")
		}
		var e Entry
		switch {
		case full || (len(text) > 1 && json.Unmarshal(text, &e) != nil):
			skipped++
		case len(text) > 1:
			entries = append(entries, e)
		}
		if errors.Is(err, io.EOF) {
			return entries, skipped, nil
		}
	}
}
