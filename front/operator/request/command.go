package request

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// options are the flags of the command.
type options struct {
	seeds          []string
	keyFile        string
	bodyFile       string
	idempotencyKey string
	timeout        time.Duration
	direct         bool
}

// Command returns the command "request", which sends one request as a caller
// and prints the response as JSON.
func Command() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use:   "request METHOD PATH",
		Short: "Send one request as a caller and print the answer as JSON",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			response, err := o.send(cmd, args[0], args[1])
			if err != nil {
				return err
			}
			return json.NewEncoder(cmd.OutOrStdout()).Encode(response)
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&o.seeds, "entry", nil, "base address of an instance to ask first (required, may be repeated)")
	f.StringVar(&o.keyFile, "key-file", "", "file with the caller's key")
	f.StringVar(&o.bodyFile, "body-file", "", "file with the request's body")
	f.StringVar(&o.idempotencyKey, "idempotency-key", "", "name of a request that must run at most once")
	f.DurationVar(&o.timeout, "timeout", 30*time.Second, "how long to wait for the answer")
	f.BoolVar(&o.direct, "direct", false, "send to the first --entry itself and do not ask which instances to use")
	_ = cmd.MarkFlagRequired("entry")
	return cmd
}

// send sends the request specified by the flags.
func (o *options) send(cmd *cobra.Command, method, path string) (Response, error) {
	key, err := readOptional(o.keyFile)
	if err != nil {
		return Response{}, fmt.Errorf("read key: %w", err)
	}
	body, err := readOptional(o.bodyFile)
	if err != nil {
		return Response{}, fmt.Errorf("read body: %w", err)
	}
	c := &Client{
		HTTP:  &http.Client{Timeout: o.timeout},
		Seeds: o.seeds,
		Key:   strings.TrimSpace(string(key)),
	}
	r := Request{Method: method, Path: path, Body: body, IdempotencyKey: o.idempotencyKey}
	if o.direct {
		return c.sendTo(cmd.Context(), o.seeds[0], r)
	}
	return c.Send(cmd.Context(), r)
}

// readOptional returns the content of a file, or nil if no file is given.
func readOptional(file string) ([]byte, error) {
	if file == "" {
		return nil, nil
	}
	return os.ReadFile(file)
}
