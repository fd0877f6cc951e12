// Package config reads the configuration with which a process of our own interface
// starts: the JSON file named by the flag --boot, and flags that override it (design
// 10.2). The settings, their defaults and their checks are those of the message Boot
// in schema/settings.proto.
//
// A daemon calls Read once at its start and then Watch, which notices a file that
// has changed without a signal or a restart.
package config
