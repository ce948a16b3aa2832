package main

import (
	"encoding/json"
	"errors"
	"fmt"

	"vanillabridge/core/proto"
	"vanillabridge/vbctl/client"
)

// The exit statuses.
const (
	statusDone    = 0
	statusFailed  = 1
	statusUsage   = 2
	statusNotRun  = 3
	statusUnknown = 4
)

// exitError is an error with the exit status that it causes.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func usage(format string, args ...any) error {
	return &exitError{statusUsage, fmt.Errorf(format, args...)}
}

func failed(format string, args ...any) error {
	return &exitError{statusFailed, fmt.Errorf(format, args...)}
}

// withStatus chooses the exit status of an error that has none.
func withStatus(err error) error {
	var known *exitError
	if err == nil || errors.As(err, &known) {
		return err
	}
	return &exitError{statusFailed, err}
}

// outcome chooses the exit status of a call that would have changed something.
func outcome(err error) error {
	var e *client.Error
	if !errors.As(err, &e) {
		return err
	}
	if e.Outcome == proto.OutcomeNotRun {
		return &exitError{statusNotRun, fmt.Errorf("not run: %w", err)}
	}
	return &exitError{statusUnknown, fmt.Errorf("unknown whether it ran; send the same command again to find out: %w", err)}
}

// report prints the error and returns the exit status.
func (a *app) report(err error) int {
	if err == nil {
		return statusDone
	}
	status := statusUsage
	var known *exitError
	if errors.As(err, &known) {
		status = known.status
	}
	if a.output == outputJSON {
		_ = json.NewEncoder(a.err).Encode(struct {
			Error  string `json:"error"`
			Status int    `json:"status"`
		}{err.Error(), status})
		return status
	}
	_, _ = fmt.Fprintf(a.err, "vbctl: %v\n", err)
	if status == statusUsage {
		_, _ = fmt.Fprintln(a.err, "Run 'vbctl --help' or 'vbctl COMMAND --help' for usage.")
	}
	return status
}
