package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"

	"github.com/labstack/echo/v4"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/core/trace"
)

type handlers struct{ service Service }

func (h handlers) submitConfig(c echo.Context) error {
	var r proto.SubmitRequest
	if err := decodeBody(c, maxConfigBodyBytes, &r); err != nil {
		return err
	}
	reply, err := h.service.Submit(c.Request().Context(), r)
	if errors.Is(err, fault.ErrConflict) {
		return c.JSON(http.StatusConflict, struct {
			proto.ErrorReply
			proto.SubmitReply
		}{proto.ErrorReply{Error: fault.Text(err), Outcome: proto.OutcomeNotRun}, reply})
	}
	return replyJSON(c, reply, err)
}

func (h handlers) getConfig(c echo.Context) error {
	reply, err := h.service.Config(c.Request().Context())
	return replyJSON(c, reply, err)
}

func (h handlers) startRun(c echo.Context) error {
	var r proto.RunRequest
	if err := decodeBody(c, maxRunBodyBytes, &r); err != nil {
		return err
	}
	reply, err := h.service.Run(c.Request().Context(), r)
	return replyJSON(c, reply, err)
}

func (h handlers) getJob(c echo.Context) error {
	id, err := parseJobID(c)
	if err != nil {
		return err
	}
	reply, err := h.service.Job(c.Request().Context(), id)
	return replyJSON(c, reply, err)
}

func (h handlers) cancelJob(c echo.Context) error {
	id, err := parseJobID(c)
	if err != nil {
		return err
	}
	reply, err := h.service.Cancel(c.Request().Context(), id)
	return replyJSON(c, reply, err)
}

func parseJobID(c echo.Context) (model.JobID, error) {
	text, err := url.PathUnescape(c.Param("*"))
	if err != nil || text == "" {
		return "", fault.Wrap(fault.ErrInvalid, "job ID %q is not of the form name/run", c.Param("*"))
	}
	return model.JobID(text), nil
}

func (h handlers) getStatus(c echo.Context) error {
	return c.JSON(http.StatusOK, h.service.Status(c.Request().Context()))
}

func (h handlers) getEvents(c echo.Context) error {
	f, err := trace.ParseFilter(c.QueryParams())
	if err != nil {
		return fault.Wrap(fault.ErrInvalid, "parse query: %v", err)
	}
	c.Response().Header().Set(echo.HeaderContentType, "application/jsonl")
	c.Response().WriteHeader(http.StatusOK)
	return trace.WriteLines(c.Response(), h.service.Events(f))
}

func (h handlers) startDrain(c echo.Context) error {
	h.service.Drain()
	return c.NoContent(http.StatusAccepted)
}

func (h handlers) syncWorker(c echo.Context) error {
	var r proto.SyncRequest
	if err := decodeBody(c, maxSyncBodyBytes, &r); err != nil {
		return err
	}
	if r.Worker == "" || r.Incarnation == 0 {
		return fault.Wrap(fault.ErrInvalid, "sync request: worker or incarnation is missing")
	}
	reply, err := h.service.Sync(c.Request().Context(), r)
	return replyJSON(c, reply, err)
}

func (handlers) getHealth(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

// getReadiness responds 503 with the reasons while the instance should not receive traffic.
func (h handlers) getReadiness(c echo.Context) error {
	reasons := h.service.UnreadyReasons()
	if len(reasons) == 0 {
		return c.String(http.StatusOK, "ready\n")
	}
	return c.JSON(http.StatusServiceUnavailable, struct {
		Reasons []string `json:"reasons"`
	}{reasons})
}

// decodeBody decodes a JSON body of at most limit bytes. It rejects unknown fields, because a misspelled
// field would otherwise be ignored silently.
func decodeBody(c echo.Context, limit int64, into any) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, limit)
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			return fault.Wrap(fault.ErrTooLarge, "request body exceeds %d bytes", limit)
		}
		return fault.Wrap(fault.ErrInvalid, "decode request body: %v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fault.Wrap(fault.ErrInvalid, "decode request body: unexpected data after the JSON value")
	}
	return nil
}

func replyJSON(c echo.Context, reply any, err error) error {
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, reply)
}
