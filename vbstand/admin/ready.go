package admin

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"vanillabridge/core/proto"
	"vanillabridge/vbstand/entry"
)

// WaitReady polls the status of all instances until each reports that it is ready, or until ctx ends,
// which is an error.
func WaitReady(ctx context.Context, targets []Target) error {
	for _, t := range targets {
		list, err := entry.NewList(http.DefaultClient, []string{t.Address})
		if err != nil {
			return err
		}
		for {
			var status proto.StatusReply
			err := sendRequest(ctx, list, http.MethodGet, "/v1/status", nil, &status)
			if err == nil && status.Ready {
				break
			}
			if !waitRetryInterval(ctx) {
				return fmt.Errorf("instance %s is not ready: %s (%v)", t.Name, strings.Join(status.Reasons, ", "), err)
			}
		}
	}
	return nil
}
