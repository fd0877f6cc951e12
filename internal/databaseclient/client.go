package databaseclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// dialTimeout bounds how long a connection takes to be made. It is shorter than
	// most calls may take, so that a host that is gone differs from a slow one.
	dialTimeout = 700 * time.Millisecond
	// keepAliveInterval is the time between two TCP keep-alive probes of a connection.
	keepAliveInterval = 5 * time.Second
	// idleTimeout bounds how long an unused connection stays open.
	idleTimeout = 30 * time.Second
	// maxIdlePerHost is how many unused connections stay open to one address.
	maxIdlePerHost = 256
	// maxErrorText bounds how much of an error's body is taken into the error.
	maxErrorText = 200
)

// The texts of these errors reach callers, in the detail of replies to queries.
var (
	// ErrNotSent marks the error of a call of which no byte reached the other side.
	ErrNotSent = errors.New("never left")
	// errWrongReply is the error of a reply that does not match its call.
	errWrongReply = errors.New("not an answer to this call")
)

// Client calls databases and the platform. It may be used by many goroutines.
type Client struct{ http *http.Client }

// New makes a client whose connections come from a local address, or from any if it is
// nil.
func New(from net.Addr) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval, LocalAddr: from}
	return &Client{&http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// call sends one request and decodes the reply, which must be one JSON value, into
// reply. A rejection with its reason has the status 409 and is decoded too.
func (c *Client) call(ctx context.Context, method, url string, body, reply any) error {
	request, err := newRequest(ctx, method, url, body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		if isDialError(err) {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorText)) // what can be read of it
		return fmt.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(text))
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, reply)
}

func newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
}

// isDialError reports whether a connection could not be made.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
