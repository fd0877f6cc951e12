// Package config reads the configuration of a daemon: the JSON file named by the flag
// --boot, and flags that override it (design 10.2). The message Boot in
// schema/settings.proto defines the settings with their defaults and checks.
//
// A daemon calls Read once at its start and then Watch, which detects changes of the file
// without a signal or a restart.
package config
