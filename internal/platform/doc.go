// Package platform is the boundary to the users' platform: its names, formats and calls on
// one side, the product's own words (package ports) on the other. It translates and decides
// nothing; no other package knows the platform's names, which a test checks.
//
// It serves callers (Frontend), the readiness check (ReadinessServer), and databases and
// operators (ServeControl); it calls databases (DatabaseDialer, DatabaseClient) and the
// platform (Provider); and it reads the settings with which the platform starts a process
// (ReadConfig, ConfigWatcher). RunPool and RunControl put a process together.
//
// The formats are the platform's, byte for byte: docs/platform.md describes them.
package platform
