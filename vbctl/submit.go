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

const submitText = `Submit sends a configuration, which takes effect everywhere within seconds once
it is accepted. FILE "-" is standard input. The document names its version; it
is refused with a difference if that version was taken by another document.

The key lets the cell recognise a document that is sent again and give the
first answer. Without --key it is computed from the document, so the same
command can be repeated after a lost answer.`

const submitExamples = `  vbctl submit cell.ini --server 10.0.1.1:8080,10.0.2.1:8080
  go run ./cell | vbctl submit - --server 10.0.1.1:8080`

func (a *app) submitCommand() *cobra.Command {
	var key string
	command := &cobra.Command{
		Use: "submit FILE", Short: "Submit a configuration",
		Long: submitText, Example: submitExamples, Args: cobra.ExactArgs(1),
		RunE: a.action(func(ctx context.Context, args []string) error { return a.submit(ctx, args[0], key) }),
	}
	command.Flags().StringVar(&key, "key", "", "key of the submission (default: computed from the document)")
	return command
}

func (a *app) submit(ctx context.Context, file, key string) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	document, err := a.readFile(file)
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
		a.conflict(err)
		return outcome(err)
	}
	return a.print(reply, func(w io.Writer) {
		for _, d := range reply.Defaults {
			line(w, "note: %s", d)
		}
		line(w, "accepted as version %d", reply.Version)
	})
}

// conflict prints the difference that comes with the answer to a document that lost a race.
func (a *app) conflict(err error) {
	var e *client.Error
	var reply proto.SubmitReply
	if !errors.As(err, &e) || e.Status != http.StatusConflict || json.Unmarshal(e.Body, &reply) != nil || reply.Diff == "" {
		return
	}
	_ = a.printPlain(reply, fmt.Sprintf("version %d is in force; from it to this document:\n%s", reply.Version, reply.Diff))
}
