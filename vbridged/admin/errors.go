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

// minRetryAfter is the Retry-After time of rejected requests, unless the error asks for a longer one.
const minRetryAfter = clock.Second

// Retryable is an error that states after which time the request may be retried.
type Retryable interface {
	error
	RetryAfter() clock.Millis
}

// respondError sends the response for an error. An error without a sentinel is reported with
// proto.OutcomeUnknown, because the request may have taken effect.
func respondError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, outcome := classifyError(err)
	if outcome == proto.OutcomeNotRun && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		after := minRetryAfter
		if r := Retryable(nil); errors.As(err, &r) {
			after = max(after, r.RetryAfter())
		}
		seconds := (after + clock.Second - 1) / clock.Second
		c.Response().Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	c.Response().Header().Set(proto.HeaderOutcome, string(outcome))
	_ = c.JSON(status, proto.ErrorReply{Error: fault.Text(err), Outcome: outcome})
}

func classifyError(err error) (int, proto.Outcome) {
	if h := (*echo.HTTPError)(nil); errors.As(err, &h) {
		return h.Code, proto.OutcomeNotRun
	}
	for _, mapping := range []struct {
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
		if errors.Is(err, mapping.sentinel) {
			return mapping.status, mapping.outcome
		}
	}
	return http.StatusBadGateway, proto.OutcomeUnknown
}
