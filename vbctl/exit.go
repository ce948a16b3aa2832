package main

import (
	"encoding/json"
	"errors"
	"fmt"

	"vanillabridge/core/proto"
	"vanillabridge/vbctl/client"
)

// The exit statuses, as documented in rootText.
const (
	exitDone    = 0
	exitFailed  = 1
	exitUsage   = 2
	exitNotRun  = 3
	exitUnknown = 4
)

// exitError is an error with the exit status for it.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func usageErrorf(format string, args ...any) error {
	return &exitError{exitUsage, fmt.Errorf(format, args...)}
}

func failureErrorf(format string, args ...any) error {
	return &exitError{exitFailed, fmt.Errorf(format, args...)}
}

// withExitStatus gives an error without an exit status the status exitFailed.
func withExitStatus(err error) error {
	var known *exitError
	if err == nil || errors.As(err, &known) {
		return err
	}
	return &exitError{exitFailed, err}
}

// withOutcomeStatus adds the exit status for a failed call that may have changed state.
func withOutcomeStatus(err error) error {
	var e *client.Error
	if !errors.As(err, &e) {
		return err
	}
	if e.Outcome == proto.OutcomeNotRun {
		return &exitError{exitNotRun, fmt.Errorf("not run: %w", err)}
	}
	return &exitError{exitUnknown, fmt.Errorf("unknown whether it ran; send the same command again to find out: %w", err)}
}

// reportError prints the error, if any, and returns the exit status.
func (a *app) reportError(err error) int {
	if err == nil {
		return exitDone
	}
	status := exitUsage
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
	if status == exitUsage {
		_, _ = fmt.Fprintln(a.err, "Run 'vbctl --help' or 'vbctl COMMAND --help' for usage.")
	}
	return status
}
