// Package operators is the operators' side of a control process's HTTP.
package operators

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"stoneford/internal/control"
	"stoneford/result"
)

// Client asks any of the control processes.
type Client struct {
	Addresses []string
	Token     string
}

const (
	callTimeout   = 7 * time.Second
	maxReplyBytes = 64 << 20
)

// HTTP sends operators' calls. A call leaves once: each has a connection of its
// own, and a redirection, which would have it sent again, is an answer.
var HTTP = &http.Client{
	Transport:     &http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// ReadReply reads a control process's reply into out. It is a single JSON value
// and, but for a status, holds a code; what is not is the word of another program,
// or part of a reply.
func ReadReply(response *http.Response, out any) error {
	b, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	var head struct {
		Code *result.Code `json:"code"`
	}
	if err := json.Unmarshal(b, &head); err != nil {
		return fmt.Errorf("%s: %w", response.Status, err)
	}
	if head.Code == nil && response.Request.Method != http.MethodGet {
		return fmt.Errorf("%s: this is no control process", response.Status)
	}
	return json.Unmarshal(b, out)
}

// Call puts a query to the control processes in turn until one replies. A change
// goes to the next only when the one before it was never reached: after that,
// whether it took effect is for the operator to read.
func (c Client) Call(ctx context.Context, method, path string, in, out any) error {
	if len(c.Addresses) == 0 {
		return errors.New("no control process is named (STONEFORD_CONTROL or --control)")
	}
	var all []error
	for _, a := range c.Addresses {
		err := c.callOne(ctx, a, method, path, in, out)
		if err == nil {
			return nil
		}
		all = append(all, fmt.Errorf("%s: %w", a, err))
		var d *dialError
		if method != http.MethodGet && !errors.As(err, &d) {
			break
		}
	}
	return errors.Join(all...)
}

type dialError struct{ error }

func (c Client) callOne(ctx context.Context, address, method, path string, in, out any) error {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	response, err := HTTP.Do(request)
	if err != nil {
		if isDialError(err) {
			return &dialError{err}
		}
		return err
	}
	defer response.Body.Close()
	return ReadReply(response, out)
}

// Configuration reads the partner's configuration; applied asks who works by which
// revision.
func (c Client) Configuration(ctx context.Context, applied bool) (control.Reply, error) {
	var r control.Reply
	p := "/v1/configuration"
	if applied {
		p += "?applied=1"
	}
	return r, c.Call(ctx, http.MethodGet, p, nil, &r)
}

// Change sends a whole configuration or a merge patch based on a revision.
func (c Client) Change(ctx context.Context, base uint64, configuration json.RawMessage, patch, dry bool) (control.Reply, error) {
	var r control.Reply
	m, p := http.MethodPut, "/v1/configuration"
	if patch {
		m = http.MethodPatch
	}
	if dry {
		p += "?dry_run=1"
	}
	return r, c.Call(ctx, m, p, control.ConfigurationBody{BasedOn: base, Configuration: configuration}, &r)
}

// Status reads what a control process knows of the fleet.
func (c Client) Status(ctx context.Context) (control.Status, error) {
	var s struct {
		control.Status
		Code result.Code `json:"code"`
		Text string      `json:"text"`
	}
	err := c.Call(ctx, http.MethodGet, "/v1/status", nil, &s)
	if err == nil && s.Code != result.OK {
		err = fmt.Errorf("%d %s", s.Code, s.Text)
	}
	return s.Status, err
}

// Run types a sentence of the language.
func (c Client) Run(ctx context.Context, text string) (control.SentenceReply, error) {
	var r control.SentenceReply
	return r, c.Call(ctx, http.MethodPost, "/v1/say", map[string]string{"text": text}, &r)
}
