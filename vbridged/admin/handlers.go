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

func (h handlers) submit(c echo.Context) error {
	var r proto.SubmitRequest
	if err := read(c, maxDocument, &r); err != nil {
		return err
	}
	reply, err := h.service.Submit(c.Request().Context(), r)
	if errors.Is(err, fault.ErrConflict) {
		return c.JSON(http.StatusConflict, struct {
			proto.Problem
			proto.SubmitReply
		}{proto.Problem{Error: fault.Text(err), Outcome: proto.OutcomeNotRun}, reply})
	}
	return answer(c, reply, err)
}

func (h handlers) config(c echo.Context) error {
	reply, err := h.service.Config(c.Request().Context())
	return answer(c, reply, err)
}

func (h handlers) run(c echo.Context) error {
	var r proto.RunRequest
	if err := read(c, maxSmall, &r); err != nil {
		return err
	}
	reply, err := h.service.Run(c.Request().Context(), r)
	return answer(c, reply, err)
}

func (h handlers) job(c echo.Context) error {
	id, err := jobID(c)
	if err != nil {
		return err
	}
	reply, err := h.service.Job(c.Request().Context(), id)
	return answer(c, reply, err)
}

func (h handlers) cancel(c echo.Context) error {
	id, err := jobID(c)
	if err != nil {
		return err
	}
	reply, err := h.service.Cancel(c.Request().Context(), id)
	return answer(c, reply, err)
}

func jobID(c echo.Context) (model.JobID, error) {
	text, err := url.PathUnescape(c.Param("*"))
	if err != nil || text == "" {
		return "", fault.Wrap(fault.ErrInvalid, "job identifier %q is not of the form name/run", c.Param("*"))
	}
	return model.JobID(text), nil
}

func (h handlers) status(c echo.Context) error {
	return c.JSON(http.StatusOK, h.service.Status(c.Request().Context()))
}

func (h handlers) events(c echo.Context) error {
	f, err := trace.ParseFilter(c.QueryParams())
	if err != nil {
		return fault.Wrap(fault.ErrInvalid, "query: %v", err)
	}
	c.Response().Header().Set(echo.HeaderContentType, "application/jsonl")
	c.Response().WriteHeader(http.StatusOK)
	return trace.WriteLines(c.Response(), h.service.Events(f))
}

func (h handlers) drain(c echo.Context) error {
	h.service.Drain()
	return c.NoContent(http.StatusAccepted)
}

func (h handlers) sync(c echo.Context) error {
	var r proto.SyncRequest
	if err := read(c, maxSync, &r); err != nil {
		return err
	}
	if r.Worker == "" || r.Incarnation == 0 {
		return fault.Wrap(fault.ErrInvalid, "sync without worker or incarnation")
	}
	reply, err := h.service.Sync(c.Request().Context(), r)
	return answer(c, reply, err)
}

func (handlers) health(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

// ready answers 503 with the reasons while the instance should get no traffic.
func (h handlers) ready(c echo.Context) error {
	reasons := h.service.Unready()
	if len(reasons) == 0 {
		return c.String(http.StatusOK, "ready\n")
	}
	return c.JSON(http.StatusServiceUnavailable, struct {
		Reasons []string `json:"reasons"`
	}{reasons})
}

// read decodes a body, refusing unknown fields: a misspelled one would be ignored silently.
func read(c echo.Context, limit int64, into any) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, limit)
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			return fault.Wrap(fault.ErrTooLarge, "body exceeds %d bytes", limit)
		}
		return fault.Wrap(fault.ErrInvalid, "body: %v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fault.Wrap(fault.ErrInvalid, "body: text after the JSON value")
	}
	return nil
}

func answer(c echo.Context, reply any, err error) error {
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, reply)
}
