// Package platform emulates the users' platform for a fleet of processes: it lists ready
// pool nodes, carries out changes of primary, replaces databases and stops machines. What it
// does to processes is given to it as [Actions].
package platform
