package peer

import (
	"encoding/json"
	"strconv"

	"github.com/sourcegraph/jsonrpc2"

	"vanillabridge/core/trace"
)

// HybridClock is the hybrid logical clock of the process. Every message between instances carries its
// timestamp, so that the timeline orders an event after its cause in another process.
type HybridClock interface {
	Stamp() trace.Stamp
	Merge(s trace.Stamp) bool
}

// clockOptions adds the timestamp to sent messages and merges the timestamps of received ones.
func (t *Transport) clockOptions() []jsonrpc2.ConnOpt {
	if t.clock == nil {
		return nil
	}
	return []jsonrpc2.ConnOpt{jsonrpc2.OnSend(t.stampOutgoing), jsonrpc2.OnRecv(t.mergeIncoming)}
}

func (t *Transport) stampOutgoing(r *jsonrpc2.Request, a *jsonrpc2.Response) {
	meta := json.RawMessage(strconv.Quote(t.clock.Stamp().String()))
	switch {
	case a != nil:
		a.Meta = &meta
	case r != nil:
		r.Meta = &meta
	}
}

// mergeIncoming advances the clock to the timestamp of a received message. It ignores a missing or
// malformed timestamp, because only the timeline for operators depends on it.
func (t *Transport) mergeIncoming(r *jsonrpc2.Request, a *jsonrpc2.Response) {
	var meta *json.RawMessage
	switch {
	case a != nil:
		meta = a.Meta
	case r != nil:
		meta = r.Meta
	}
	if meta == nil {
		return
	}
	var text string
	if json.Unmarshal(*meta, &text) != nil {
		return
	}
	if s, err := trace.ParseStamp(text); err == nil {
		t.clock.Merge(s)
	}
}
