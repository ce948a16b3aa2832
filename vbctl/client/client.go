package client

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"
)

// maxAnswer bounds an answer, in bytes; the timeline of one instance is the longest.
const maxAnswer = 256 << 20

// Options configure a Client.
type Options struct {
	Servers   []string      // IP:port or http(s)://IP:port of entry instances, tried in this order
	Timeout   time.Duration // of one attempt
	Authority string        // file with the certificates that sign the servers' ones; empty for the system's
}

// Client calls entry instances.
type Client struct {
	bases []string
	http  *http.Client
}

// New returns a client, or an error that says which option is wrong.
func New(o Options) (*Client, error) {
	if len(o.Servers) == 0 {
		return nil, errors.New("no server given")
	}
	c := &Client{}
	for _, server := range o.Servers {
		base, err := baseURL(strings.TrimSpace(server))
		if err != nil {
			return nil, err
		}
		c.bases = append(c.bases, base)
	}
	// A fresh connection for each attempt: on a reused one, the library itself may send a
	// request again, and it would be unclear whether a byte of it was sent.
	transport := &http.Transport{DisableKeepAlives: true}
	if o.Authority != "" {
		pool, err := readPool(o.Authority)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	c.http = &http.Client{Transport: transport, Timeout: o.Timeout, CheckRedirect: refuseRedirect}
	return c, nil
}

// Servers returns the base addresses in their order.
func (c *Client) Servers() []string { return append([]string(nil), c.bases...) }

// At returns a client that calls one server only.
func (c *Client) At(base string) *Client { return &Client{bases: []string{base}, http: c.http} }

func baseURL(server string) (string, error) {
	text := server
	if !strings.Contains(text, "://") {
		text = "http://" + text
	}
	u, err := url.Parse(text)
	if err != nil || u.Port() == "" || u.Hostname() == "" || (u.Scheme != "http" && u.Scheme != "https") || strings.Trim(u.Path, "/") != "" {
		return "", fmt.Errorf("server %q is not IP:port or http(s)://IP:port", server)
	}
	return u.Scheme + "://" + u.Host, nil
}

func readPool(file string) (*x509.CertPool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read the authority file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s holds no certificate in PEM form", file)
	}
	return pool, nil
}

// refuseRedirect ends a redirected request: it would leave the list of servers.
func refuseRedirect(r *http.Request, _ []*http.Request) error {
	return fmt.Errorf("redirected to %s", r.URL)
}

// Do sends the request to one server after the other until one gives a final answer, and
// decodes it into answer. The error is an *Error.
func (c *Client) Do(ctx context.Context, r Request, answer any) error {
	var failed attempts
	for _, base := range c.bases {
		err := c.attempt(ctx, base, r, answer)
		if err == nil {
			return nil
		}
		failed = append(failed, err)
		if err.final || ctx.Err() != nil {
			break
		}
	}
	return failed.combine(r)
}
