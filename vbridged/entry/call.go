package entry

import (
	"crypto/rand"
	"net/http"
	"strconv"
	"strings"

	"vanillabridge/core/admit"
	"vanillabridge/core/clock"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/once"
	"vanillabridge/core/proto"
)

const (
	pathPrefix = "/s/"
	// maxNameBytes bounds the caller name and the idempotency key, which callers choose.
	maxNameBytes = 256
)

// call is the state of one request of a caller.
type call struct {
	id            string
	service       string
	path          string // escaped path of the request to the backend server
	route         Route
	zones         []model.Zone
	entryZone     model.Zone // zone of this entry instance
	caller        model.Caller
	share         int // configured share of the caller; 0 if the caller is not configured
	class         model.Urgency
	acceptedAt    clock.Millis
	deadline      clock.Millis
	idempotent    bool
	hasCallerKey  bool // the caller sent an idempotency key
	key           once.Key
	token         once.Token
	onceFlow      *once.RequestFlow // state of a non-idempotent request; nil until its record exists
	maybeSent     bool              // a byte of the request may have reached a backend server
	recordKnown   bool              // the state of its record is known
	status        int
	outcome       proto.Outcome
	cause         string
	attempts      int
	queueID       admit.ID     // identifier in the queue of the service
	firstPermitAt clock.Millis // time of the first permit; 0 if there was none
	server        member.Key
	serverZone    model.Zone
}

// parseCall reads and validates a request. The call is not nil even if there is a refusal.
func (e *Entry) parseCall(r *http.Request, now clock.Millis) (*call, *refusal) {
	n := e.lastRequestNumber.Add(1)
	c := &call{
		id: e.requestIDPrefix + strconv.FormatUint(n, 36), acceptedAt: now, entryZone: e.settings.Zone,
		caller: model.Caller(r.Header.Get(proto.HeaderCaller)),
	}
	c.token = once.Token{Instance: e.settings.Instance, Incarnation: e.settings.Incarnation, Number: n}
	c.idempotent = isIdempotent(r)
	if refused := c.parseKey(r); refused != nil {
		return c, refused
	}
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), pathPrefix)
	if !ok {
		return c, &refusal{status: http.StatusNotFound, text: "path does not start with " + pathPrefix}
	}
	c.service, c.path, _ = strings.Cut(rest, "/")
	c.path = "/" + c.path
	snap := e.ports.Config.Snapshot()
	c.zones = snap.Zones
	if c.route, ok = snap.Route(c.service); !ok {
		return c, &refusal{status: http.StatusNotFound, text: "service is not configured"}
	}
	c.class, c.share = model.Normal, 0
	if known, ok := snap.Callers[c.caller]; ok {
		c.class, c.share = known.Class, max(known.Share, DefaultShare)
	}
	if refused := c.parseClassAndDeadline(r, e.settings.MaxRequestTime); refused != nil {
		return c, refused
	}
	if r.ContentLength > e.settings.MaxBodyBytes {
		return c, &refusal{status: http.StatusRequestEntityTooLarge, text: "request body exceeds the size limit"}
	}
	return c, nil
}

// parseKey reads the idempotency key of a non-idempotent request.
func (c *call) parseKey(r *http.Request) *refusal {
	if c.idempotent {
		return nil
	}
	c.key = once.Key{Caller: c.caller, Key: r.Header.Get(proto.HeaderKey)}
	c.hasCallerKey = c.key.Key != ""
	if len(c.key.Key) > maxNameBytes || len(c.caller) > maxNameBytes {
		return &refusal{status: http.StatusBadRequest, text: "idempotency key or caller name is too long"}
	}
	return nil
}

func (c *call) parseClassAndDeadline(r *http.Request, maxTime clock.Millis) *refusal {
	if text := r.Header.Get(proto.HeaderClass); text != "" {
		u, err := model.ParseUrgency(text)
		if err != nil {
			return &refusal{status: http.StatusBadRequest, text: err.Error()}
		}
		// A caller may ask for a lower class than the configured one, but not for a higher one.
		c.class = min(c.class, u)
	}
	limit := c.route.Deadline
	if text := r.Header.Get(proto.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return &refusal{status: http.StatusBadRequest, text: "deadline is not a positive number of milliseconds"}
		}
		limit = clock.Millis(ms)
	}
	c.deadline = c.acceptedAt + min(limit, maxTime)
	return nil
}

func isIdempotent(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return r.Header.Get(proto.HeaderIdempotent) == "true"
	}
}

// ensureKey generates a key whose owner is this zone if the caller sent none.
func (c *call) ensureKey(own model.Zone) {
	if !c.hasCallerKey {
		c.key.Key = string(own) + ":" + rand.Text()
	}
}

// digest identifies a request, to detect a key that is used again for a different one.
func (c *call) digest(r *http.Request) string {
	return r.Method + " " + c.service + c.path + "?" + r.URL.RawQuery
}
