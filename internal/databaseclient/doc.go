// Package databaseclient calls the HTTP interfaces of databases and of the platform
// (docs/database-interface.md).
//
// A call is sent at most once: redirections are not followed, and net/http sends a POST
// or DELETE again only if none of its bytes was sent. An error that wraps ErrNotSent shows
// that the other side cannot have received the call.
package databaseclient
