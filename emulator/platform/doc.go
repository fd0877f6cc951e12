// Package platform emulates the users' platform for a fleet of processes: it lists the
// ready pool nodes, promotes databases, replaces databases and stops machines. It acts on
// processes by the [Actions] that it is given.
package platform
