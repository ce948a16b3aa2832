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

// maxResponseBytes bounds a response body. The events of one instance are the largest response.
const maxResponseBytes = 256 << 20

// Options configure a Client.
type Options struct {
	Servers []string      // addresses of entry instances, IP:port or http(s)://IP:port, tried in this order
	Timeout time.Duration // of one attempt
	CAFile  string        // PEM file with the CA certificates of the servers; empty for the system's certificates
}

// Client sends requests to entry instances.
type Client struct {
	baseURLs []string
	http     *http.Client
}

// New returns a client, or an error that names the invalid option.
func New(o Options) (*Client, error) {
	if len(o.Servers) == 0 {
		return nil, errors.New("no server given")
	}
	c := &Client{}
	for _, server := range o.Servers {
		base, err := parseBaseURL(strings.TrimSpace(server))
		if err != nil {
			return nil, err
		}
		c.baseURLs = append(c.baseURLs, base)
	}
	// Each attempt uses a new connection. On a reused one, net/http may resend a request by
	// itself, and it would be unknown whether a part of the request was sent.
	transport := &http.Transport{DisableKeepAlives: true}
	if o.CAFile != "" {
		pool, err := loadCertPool(o.CAFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	c.http = &http.Client{Transport: transport, Timeout: o.Timeout, CheckRedirect: refuseRedirect}
	return c, nil
}

// Servers returns the base URLs of the servers in the order in which they are tried.
func (c *Client) Servers() []string { return append([]string(nil), c.baseURLs...) }

// ForServer returns a client that uses only the server with the given base URL.
func (c *Client) ForServer(base string) *Client {
	return &Client{baseURLs: []string{base}, http: c.http}
}

func parseBaseURL(server string) (string, error) {
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

func loadCertPool(file string) (*x509.CertPool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read the CA certificate file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("CA certificate file %s contains no PEM certificate", file)
	}
	return pool, nil
}

// refuseRedirect rejects redirects, which could lead to a server that is not in the list.
func refuseRedirect(r *http.Request, _ []*http.Request) error {
	return fmt.Errorf("refused redirect to %s", r.URL)
}

// Do sends the request to the servers in order until one of them gives a final response, and
// decodes the response body into answer. The error is an *Error.
func (c *Client) Do(ctx context.Context, r Request, answer any) error {
	var failed failedAttempts
	for _, base := range c.baseURLs {
		err := c.attempt(ctx, base, r, answer)
		if err == nil {
			return nil
		}
		failed = append(failed, err)
		if err.final || ctx.Err() != nil {
			break
		}
	}
	return failed.joinErrors(r)
}
