package operators

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"stoneford/internal/control"
	"stoneford/result"
)

const configurationPath = "/v1/configuration"

// Configuration reads the partner's configuration through a majority of the voters. If
// applied is set, the reply also has the revision that each process applies.
func (c Client) Configuration(ctx context.Context, applied bool) (control.Reply, error) {
	path := configurationPath
	if applied {
		path += "?applied=1"
	}
	var reply control.Reply
	err := c.Call(ctx, http.MethodGet, path, nil, &reply)
	return reply, err
}

// Change sends a complete configuration, or a JSON merge patch if patch is set, that is
// based on the revision base. If dryRun is set, the control process only checks it. After
// an error the change may or may not come into force.
func (c Client) Change(ctx context.Context, base uint64, configuration json.RawMessage, patch, dryRun bool) (control.Reply, error) {
	method, path := http.MethodPut, configurationPath
	if patch {
		method = http.MethodPatch
	}
	if dryRun {
		path += "?dry_run=1"
	}
	var reply control.Reply
	err := c.Call(ctx, method, path, control.ConfigurationBody{BasedOn: base, Configuration: configuration}, &reply)
	return reply, err
}

// Status returns a control process's view of the fleet.
func (c Client) Status(ctx context.Context) (control.Status, error) {
	var reply struct {
		control.Status
		Code result.Code `json:"code"`
		Text string      `json:"text"`
	}
	err := c.Call(ctx, http.MethodGet, "/v1/status", nil, &reply)
	if err == nil && reply.Code != result.OK {
		err = fmt.Errorf("%d %s", reply.Code, reply.Text)
	}
	return reply.Status, err
}

// RunSentence sends a sentence (package language) to be executed. After an error it may or
// may not have been executed.
func (c Client) RunSentence(ctx context.Context, sentence string) (control.CommandReply, error) {
	var reply control.CommandReply
	err := c.Call(ctx, http.MethodPost, "/v1/say", control.CommandBody{Text: sentence}, &reply)
	return reply, err
}
