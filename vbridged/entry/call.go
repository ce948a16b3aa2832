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
	"vanillabridge/core/permit"
	"vanillabridge/core/proto"
)

const (
	pathPrefix = "/s/"
	// maxName bounds the names that callers choose, in bytes.
	maxName = 256
)

// call is one request of a caller.
type call struct {
	id         string
	service    string
	path       string // escaped path towards the backend server
	route      Route
	zones      []model.Zone
	home       model.Zone // of the entry instance
	caller     model.Caller
	share      int
	class      model.Urgency
	start      clock.Millis
	until      clock.Millis // deadline
	idempotent bool
	named      bool // the caller chose the key
	key        once.Key
	token      once.Token
	flow       *once.Flow // of a non-idempotent request whose record exists
	touched    bool       // a byte of the request may have reached a backend server
	began      bool       // the result of Begin is known
	status     int
	outcome    proto.Outcome
	cause      string
	tries      int
	place      admit.ID     // in the queue of the service
	first      clock.Millis // instant of the first permit
	server     member.Key
	zone       model.Zone
}

// parse reads what the entry instance needs from a request.
func (e *Entry) parse(r *http.Request, now clock.Millis) (*call, *refusal) {
	n := e.number.Add(1)
	c := &call{
		id: e.prefix + strconv.FormatUint(n, 36), start: now, home: e.set.Zone,
		caller: model.Caller(r.Header.Get(proto.HeaderCaller)),
	}
	c.token = once.Token{Instance: e.set.Instance, Incarnation: e.set.Incarnation, Number: n}
	c.idempotent = isIdempotent(r)
	if bad := c.parseKey(r); bad != nil {
		return c, bad
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
		return c, &refusal{status: http.StatusNotFound, text: "no such service"}
	}
	c.class, c.share = model.Normal, 0
	if known, ok := snap.Callers[c.caller]; ok {
		c.class, c.share = known.Class, max(known.Share, DefaultShare)
	}
	if bad := c.parseLimits(r); bad != nil {
		return c, bad
	}
	if r.ContentLength > e.set.BodySize {
		return c, &refusal{status: http.StatusRequestEntityTooLarge, text: "body exceeds the limit"}
	}
	return c, nil
}

// parseKey reads or draws the key of a non-idempotent request.
func (c *call) parseKey(r *http.Request) *refusal {
	if c.idempotent {
		return nil
	}
	c.key = once.Key{Caller: c.caller, Key: r.Header.Get(proto.HeaderKey)}
	c.named = c.key.Key != ""
	if len(c.key.Key) > maxName || len(c.caller) > maxName {
		return &refusal{status: http.StatusBadRequest, text: "key or caller is too long"}
	}
	return nil
}

func (c *call) parseLimits(r *http.Request) *refusal {
	if text := r.Header.Get(proto.HeaderClass); text != "" {
		u, err := model.ParseUrgency(text)
		if err != nil {
			return &refusal{status: http.StatusBadRequest, text: err.Error()}
		}
		// A caller may lower its class, not raise it above the configured one.
		c.class = min(c.class, u)
	}
	limit := c.route.Deadline
	if text := r.Header.Get(proto.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return &refusal{status: http.StatusBadRequest, text: "deadline is no positive number of milliseconds"}
		}
		limit = clock.Millis(ms)
	}
	c.until = c.start + min(limit, permit.RequestTime)
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

// drawKey gives a key owned by the own zone to a request without one.
func (c *call) drawKey(own model.Zone) {
	if !c.named {
		c.key.Key = string(own) + ":" + rand.Text()
	}
}

// digest tells two requests under one key apart.
func (c *call) digest(r *http.Request) string {
	return r.Method + " " + c.service + c.path + "?" + r.URL.RawQuery
}
