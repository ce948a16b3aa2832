package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"vanillabridge/core/proto"
	"vanillabridge/vbctl/client"
)

const submitText = `Submit sends a configuration, which takes effect on all instances within seconds
after it is accepted. FILE "-" means standard input. The document contains its
version; if another document was accepted with this version, it is refused and
the differences are printed.

The idempotency key identifies a document that is sent again, which then gets
the first response. Without --key, the key is computed from the document, so the
same command can be repeated after a lost response.`

const submitExamples = `  vbctl submit cell.ini --server 10.0.1.1:8080,10.0.2.1:8080
  go run ./cell | vbctl submit - --server 10.0.1.1:8080`

func (a *app) submitCommand() *cobra.Command {
	var key string
	command := &cobra.Command{
		Use: "submit FILE", Short: "Submit a configuration",
		Long: submitText, Example: submitExamples, Args: cobra.ExactArgs(1),
		RunE: a.withErrorStatus(func(ctx context.Context, args []string) error { return a.submit(ctx, args[0], key) }),
	}
	command.Flags().StringVar(&key, "key", "", "idempotency key of the submission (default: computed from the document)")
	return command
}

func (a *app) submit(ctx context.Context, file, key string) error {
	c, err := a.newClient()
	if err != nil {
		return err
	}
	document, err := a.readConfigFile(file)
	if err != nil {
		return err
	}
	if key == "" {
		sum := sha256.Sum256([]byte(document))
		key = hex.EncodeToString(sum[:16])
	}
	request := client.Request{Method: http.MethodPost, Path: "/v1/config", Body: proto.SubmitRequest{Key: key, Document: document}}
	var reply proto.SubmitReply
	if err := c.Do(ctx, request, &reply); err != nil {
		a.showConflictDiff(err)
		return withOutcomeStatus(err)
	}
	return a.writeAnswer(reply, func(w io.Writer) {
		for _, d := range reply.Defaults {
			writeLine(w, "note: %s", d)
		}
		writeLine(w, "accepted as version %d", reply.Version)
	})
}

// showConflictDiff prints the changes that the response to a conflicting document contains.
func (a *app) showConflictDiff(err error) {
	var e *client.Error
	var reply proto.SubmitReply
	if !errors.As(err, &e) || e.Status != http.StatusConflict || json.Unmarshal(e.Body, &reply) != nil || reply.Diff == "" {
		return
	}
	_ = a.writePlain(reply, fmt.Sprintf("version %d is in force; changes from it to this document:\n%s", reply.Version, reply.Diff))
}
