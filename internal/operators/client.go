package operators

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

	"stoneford/result"
)

const (
	// callTimeout bounds a call to one control process. It is longer than the time after
	// which a control process gives up reaching a majority of the voters, so that its error
	// arrives.
	callTimeout = 7 * time.Second
	// maxReplyBytes bounds the bytes that are read of a reply.
	maxReplyBytes = 64 << 20
)

// ErrNoAddress is returned by a Client without addresses.
var ErrNoAddress = errors.New("no control process is named (STONEFORD_CONTROL or --control)")

// Client calls the control processes on behalf of a partner's operators. It is safe for
// concurrent use.
type Client struct {
	Addresses []string // of the control processes' HTTP interfaces, tried in this order
	Token     string   // token of the partner's operators
}

// HTTPClient sends operators' calls, each at most once: each call has a connection of its
// own, since net/http may send a call again if it finds a reused connection closed, and
// redirections are returned as replies, since following one would send the call again.
var HTTPClient = &http.Client{
	Transport:     &http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// ReadReply decodes the response of a control process into reply. It returns an error
// unless the body is a single JSON value and, except for a GET, has a code: any other
// response is incomplete or comes from another program.
func ReadReply(response *http.Response, reply any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	var head struct {
		Code *result.Code `json:"code"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		return fmt.Errorf("%s: %w", response.Status, err)
	}
	if head.Code == nil && response.Request.Method != http.MethodGet {
		return fmt.Errorf("%s: this is no control process", response.Status)
	}
	return json.Unmarshal(body, reply)
}

// IsDialError reports whether a call failed because it could not connect, so that none of
// it was sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Call calls the control processes in turn until one replies, and decodes its response
// into reply. A call other than a GET goes on to the next process only if the previous one
// could not be connected to. The error joins the errors of all processes called.
func (c Client) Call(ctx context.Context, method, path string, body, reply any) error {
	if len(c.Addresses) == 0 {
		return ErrNoAddress
	}
	var failures []error
	for _, address := range c.Addresses {
		err := c.callOne(ctx, address, method, path, body, reply)
		if err == nil {
			return nil
		}
		failures = append(failures, fmt.Errorf("%s: %w", address, err))
		if method != http.MethodGet && !IsDialError(err) {
			break
		}
	}
	return errors.Join(failures...)
}

func (c Client) callOne(ctx context.Context, address, method, path string, body, reply any) error {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	response, err := HTTPClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return ReadReply(response, reply)
}
