// Package platform translates between the users' platform, with its names, formats and
// calls, and the system's own types in package ports. It makes no decisions. No other
// package uses the platform's names, which a test checks.
//
// It serves callers (Frontend), the readiness check (ReadinessServer), and databases and
// operators (ServeControl). It calls databases (DatabaseDialer, DatabaseClient) and the
// platform (Provider). It reads the settings with which the platform starts a process
// (ReadConfig, ConfigWatcher). RunPool and RunControl assemble and run a process.
//
// The platform defines all formats, byte for byte; docs/platform.md describes them.
package platform
