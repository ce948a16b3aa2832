package state

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
)

// maxSubmissions bounds the number of accepted submissions that are kept to answer resends. At
// 14,000 changes a day it covers more than a day.
const maxSubmissions = 20000

// Submit proposes a new version of the configuration.
type Submit struct {
	Key         string       `cbor:"1,keyasint"` // idempotency key; empty for none
	BaseVersion uint64       `cbor:"2,keyasint"` // the version that this document replaces
	Document    string       `cbor:"3,keyasint"`
	At          clock.Millis `cbor:"4,keyasint"`
}

// SubmitResult is the result of a Submit. A resend of an accepted Submit gets the same result.
type SubmitResult struct {
	Accepted        bool   `cbor:"1,keyasint"`
	Version         uint64 `cbor:"2,keyasint"`           // the accepted version, or the one in force
	CurrentDocument string `cbor:"3,keyasint,omitempty"` // the document in force, if BaseVersion is not its version
	KeyReused       bool   `cbor:"4,keyasint,omitempty"` // the key was used before for another document
}

// submission is an accepted Submit, kept to answer resends.
type submission struct {
	Key     string `cbor:"1,keyasint"`
	Digest  uint64 `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`
}

// cellData is the content of a snapshot of a Cell.
type cellData struct {
	Version     uint64       `cbor:"1,keyasint"`
	Document    string       `cbor:"2,keyasint"`
	Submissions []submission `cbor:"3,keyasint"` // oldest first
}

// Cell is the replicated state that all zones share. It is not safe for concurrent use.
type Cell struct {
	data             cellData
	submissionsByKey map[string]submission
}

// NewCell returns an empty state with configuration version 0.
func NewCell() *Cell { return &Cell{submissionsByKey: map[string]submission{}} }

// Snapshot encodes the complete state.
func (c *Cell) Snapshot() ([]byte, error) { return Encode(c.data) }

// Restore replaces the state with that of a snapshot.
func (c *Cell) Restore(snapshot []byte) error {
	data := cellData{}
	if err := Decode(snapshot, &data); err != nil {
		return err
	}
	c.data = data
	c.submissionsByKey = make(map[string]submission, len(data.Submissions))
	for _, s := range data.Submissions {
		c.submissionsByKey[s.Key] = s
	}
	return nil
}

// Config returns the latest accepted configuration.
func (c *Cell) Config() (version uint64, document string) {
	return c.data.Version, c.data.Document
}

// Apply applies a committed submission. Only accepted submissions are stored: a rejected
// one changed nothing, so a resend of it is evaluated again.
func (c *Cell) Apply(s Submit) SubmitResult {
	digest := documentDigest(s.Document)
	if known, ok := c.submissionsByKey[s.Key]; ok && s.Key != "" {
		if known.Digest != digest {
			return SubmitResult{Version: known.Version, KeyReused: true}
		}
		return SubmitResult{Accepted: true, Version: known.Version}
	}
	if s.BaseVersion != c.data.Version {
		return SubmitResult{Version: c.data.Version, CurrentDocument: c.data.Document}
	}
	c.data.Version++
	c.data.Document = s.Document
	c.storeSubmission(submission{Key: s.Key, Digest: digest, Version: c.data.Version})
	return SubmitResult{Accepted: true, Version: c.data.Version}
}

func (c *Cell) storeSubmission(s submission) {
	if s.Key == "" {
		return
	}
	c.submissionsByKey[s.Key] = s
	c.data.Submissions = append(c.data.Submissions, s)
	if len(c.data.Submissions) > maxSubmissions {
		delete(c.submissionsByKey, c.data.Submissions[0].Key)
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
		return Submit{}, fault.Wrap(fault.ErrCorrupt, "decode configuration submission: empty document")
	}
	return s, nil
}
