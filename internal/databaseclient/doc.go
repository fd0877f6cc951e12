// Package databaseclient calls the HTTP interfaces of databases and of the platform
// (docs/database-interface.md).
//
// A call is sent at most once: a redirection is not followed, and net/http sends a POST
// or DELETE again only if none of its bytes was sent. After an error, errors.Is with
// ErrNotSent shows whether the other side can't have received the call.
package databaseclient
