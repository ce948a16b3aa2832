package state

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
)

// maxSubmissions bounds the answers kept for resends. At 14,000 changes a day it covers more
// than a day.
const maxSubmissions = 20000

// Submit asks for a new version of the configuration.
type Submit struct {
	Key      string       `cbor:"1,keyasint"`
	Base     uint64       `cbor:"2,keyasint"` // the version that this document replaces
	Document string       `cbor:"3,keyasint"`
	At       clock.Millis `cbor:"4,keyasint"`
}

// SubmitResult answers a Submit, and every resend of it.
type SubmitResult struct {
	Accepted bool   `cbor:"1,keyasint"`
	Version  uint64 `cbor:"2,keyasint"`           // the accepted version, or the one in force
	Current  string `cbor:"3,keyasint,omitempty"` // the document in force, for a conflict
	Misused  bool   `cbor:"4,keyasint,omitempty"` // the key was used for another document
}

// submission is the kept answer of an accepted Submit.
type submission struct {
	Key     string `cbor:"1,keyasint"`
	Digest  uint64 `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`
}

type cellData struct {
	Version     uint64       `cbor:"1,keyasint"`
	Document    string       `cbor:"2,keyasint"`
	Submissions []submission `cbor:"3,keyasint"` // oldest first
}

// Cell is the replicated state that all zones share. It is not safe for concurrent use.
type Cell struct {
	data cellData
	keys map[string]submission
}

// NewCell returns the empty state, whose version is 0.
func NewCell() *Cell { return &Cell{keys: map[string]submission{}} }

// Snapshot encodes the whole state.
func (c *Cell) Snapshot() ([]byte, error) { return Encode(c.data) }

// Restore replaces the state with a snapshot.
func (c *Cell) Restore(snapshot []byte) error {
	data := cellData{}
	if err := Decode(snapshot, &data); err != nil {
		return err
	}
	c.data = data
	c.keys = make(map[string]submission, len(data.Submissions))
	for _, s := range data.Submissions {
		c.keys[s.Key] = s
	}
	return nil
}

// Config returns the newest accepted configuration.
func (c *Cell) Config() (version uint64, document string) {
	return c.data.Version, c.data.Document
}

// Apply applies a committed submission. Only accepted submissions are remembered: a
// conflict changed nothing, so a resend of it is judged anew.
func (c *Cell) Apply(s Submit) SubmitResult {
	digest := digestOf(s.Document)
	if known, ok := c.keys[s.Key]; ok && s.Key != "" {
		if known.Digest != digest {
			return SubmitResult{Version: known.Version, Misused: true}
		}
		return SubmitResult{Accepted: true, Version: known.Version}
	}
	if s.Base != c.data.Version {
		return SubmitResult{Version: c.data.Version, Current: c.data.Document}
	}
	c.data.Version++
	c.data.Document = s.Document
	c.remember(submission{Key: s.Key, Digest: digest, Version: c.data.Version})
	return SubmitResult{Accepted: true, Version: c.data.Version}
}

func (c *Cell) remember(s submission) {
	if s.Key == "" {
		return
	}
	c.keys[s.Key] = s
	c.data.Submissions = append(c.data.Submissions, s)
	if len(c.data.Submissions) > maxSubmissions {
		delete(c.keys, c.data.Submissions[0].Key)
		c.data.Submissions = c.data.Submissions[1:]
	}
}

// DecodeSubmit decodes a Submit from the log.
func DecodeSubmit(data []byte) (Submit, error) {
	var s Submit
	if err := Decode(data, &s); err != nil {
		return Submit{}, err
	}
	if s.Document == "" {
		return Submit{}, fault.Wrap(fault.ErrCorrupt, "submission without a document")
	}
	return s, nil
}
