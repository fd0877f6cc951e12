package databaseclient

import (
	"context"
	"errors"
	"net/http"
)

// Member is the name and address of one database of a group.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Takeover asks the platform to make the target the primary of a group in an epoch, if its
// data has the identity, and to make the other members follow it.
func (c *Client) Takeover(ctx context.Context, platform, group, target, identity string, epoch uint64, members []Member) error {
	return c.callPlatform(ctx, platform, "takeover", map[string]any{"group": group, "target": target, "identity": identity, "epoch": epoch, "members": members})
}

// Replace asks the platform to replace a database by a new, empty one if its data still
// has the identity.
func (c *Client) Replace(ctx context.Context, platform, database, address, identity string) error {
	return c.callPlatform(ctx, platform, "replace", map[string]any{"database": database, "address": address, "identity": identity})
}

// StopMachine asks the platform to stop the pool node of a machine gracefully.
func (c *Client) StopMachine(ctx context.Context, platform, machine string) error {
	return c.callPlatform(ctx, platform, "stop", map[string]any{"machine": machine})
}

func (c *Client) callPlatform(ctx context.Context, platform, request string, body any) error {
	var reply struct {
		Error string `json:"error"`
	}
	if err := c.call(ctx, http.MethodPost, "http://"+platform+"/v1/"+request, body, &reply); err != nil {
		return err
	}
	if reply.Error != "" {
		return errors.New(reply.Error)
	}
	return nil
}
