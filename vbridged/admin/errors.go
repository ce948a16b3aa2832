package admin

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/proto"
)

// retryAfter is told to clients that were refused without a better estimate.
const retryAfter = clock.Second

// Retryable is an error that knows when to try again.
type Retryable interface {
	error
	RetryAfter() clock.Millis
}

// respondError maps errors to answers. An error without a sentinel is one whose effect is
// not known.
func respondError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, outcome := classify(err)
	if outcome == proto.OutcomeNotRun && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		after := retryAfter
		if r := Retryable(nil); errors.As(err, &r) {
			after = max(after, r.RetryAfter())
		}
		seconds := (after + clock.Second - 1) / clock.Second
		c.Response().Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	c.Response().Header().Set(proto.HeaderOutcome, string(outcome))
	_ = c.JSON(status, proto.Problem{Error: fault.Text(err), Outcome: outcome})
}

func classify(err error) (int, proto.Outcome) {
	if h := (*echo.HTTPError)(nil); errors.As(err, &h) {
		return h.Code, proto.OutcomeNotRun
	}
	for _, k := range []struct {
		sentinel error
		status   int
		outcome  proto.Outcome
	}{
		{fault.ErrInvalid, http.StatusBadRequest, proto.OutcomeNotRun},
		{fault.ErrConflict, http.StatusConflict, proto.OutcomeNotRun},
		{fault.ErrNotFound, http.StatusNotFound, proto.OutcomeNotRun},
		{fault.ErrTooLarge, http.StatusRequestEntityTooLarge, proto.OutcomeNotRun},
		{fault.ErrOverloaded, http.StatusTooManyRequests, proto.OutcomeNotRun},
		{fault.ErrNotLeader, http.StatusServiceUnavailable, proto.OutcomeNotRun},
		{fault.ErrUnavailable, http.StatusServiceUnavailable, proto.OutcomeNotRun},
		{fault.ErrStopped, http.StatusServiceUnavailable, proto.OutcomeNotRun},
	} {
		if errors.Is(err, k.sentinel) {
			return k.status, k.outcome
		}
	}
	return http.StatusBadGateway, proto.OutcomeUnknown
}
