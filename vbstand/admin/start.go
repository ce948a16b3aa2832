package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"vanillabridge/core/proto"
	"vanillabridge/vbstand/entry"
)

// StartRun starts another run of a batch or gang of the current configuration. After a lost answer it
// resends the request with the same run label through the next instance, so that the run is started
// once.
func StartRun(ctx context.Context, list *entry.List, name, run string) error {
	for {
		err := sendRequest(ctx, list, http.MethodPost, "/v1/jobs", proto.RunRequest{Name: name, RunLabel: run}, nil)
		if err == nil {
			return nil
		}
		var status *entry.StatusError
		if errors.As(err, &status) && isFinalStatus(status.Status) {
			return fmt.Errorf("start run %s of %s: %w", run, name, err)
		}
		list.Next()
		if !waitRetryInterval(ctx) {
			return fmt.Errorf("start run %s of %s: %w", run, name, err)
		}
	}
}
