package peer

import (
	"encoding/json"
	"strconv"

	"github.com/sourcegraph/jsonrpc2"

	"vanillabridge/core/trace"
)

// Stamps is the process's hybrid logical clock. Every message between instances carries a
// stamp, so that events which one process causes in another come later in the timeline.
type Stamps interface {
	Stamp() trace.Stamp
	Merge(s trace.Stamp) bool
}

// stampOptions add the stamp to sent messages and merge that of received ones.
func (n *Net) stampOptions() []jsonrpc2.ConnOpt {
	if n.stamps == nil {
		return nil
	}
	return []jsonrpc2.ConnOpt{jsonrpc2.OnSend(n.sign), jsonrpc2.OnRecv(n.merge)}
}

func (n *Net) sign(r *jsonrpc2.Request, a *jsonrpc2.Response) {
	meta := json.RawMessage(strconv.Quote(n.stamps.Stamp().String()))
	switch {
	case a != nil:
		a.Meta = &meta
	case r != nil:
		r.Meta = &meta
	}
}

// merge ignores a message without a readable stamp: the timeline is for people, and no
// decision depends on it.
func (n *Net) merge(r *jsonrpc2.Request, a *jsonrpc2.Response) {
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
		n.stamps.Merge(s)
	}
}
