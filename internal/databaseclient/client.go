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
	// dialTimeout bounds the time to connect. It is shorter than the timeout of most
	// calls, so that an unreachable host is distinguished from a slow one.
	dialTimeout = 700 * time.Millisecond
	// keepAliveInterval is the time between two TCP keep-alive probes of a connection.
	keepAliveInterval = 5 * time.Second
	// idleTimeout bounds how long an unused connection stays open.
	idleTimeout = 30 * time.Second
	// maxIdlePerHost bounds the unused connections that stay open to one address.
	maxIdlePerHost = 256
	// maxErrorText bounds the bytes of an error response that are copied into the error.
	maxErrorText = 200
)

// The texts of these errors reach callers, in the detail of replies to queries.
var (
	// ErrNotSent is wrapped by the error of a call of which no byte was sent.
	ErrNotSent = errors.New("never left")
	// errWrongReply is wrapped by the error for a reply that does not match its call.
	errWrongReply = errors.New("not an answer to this call")
)

// Client calls databases and the platform. It is safe for concurrent use.
type Client struct{ http *http.Client }

// New returns a client whose connections come from localAddress, or from any address if
// that is nil.
func New(localAddress net.Addr) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval, LocalAddr: localAddress}
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

// call sends one request and decodes the response body, a single JSON value, into reply.
// It also decodes the body of a rejection, which has the status 409 and gives the reason.
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
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorText)) // the status alone suffices if this fails
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

// isDialError reports whether a call failed because it could not connect.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
