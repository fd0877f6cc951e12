// Package routingtable validates and applies operators' changes of the routing table,
// and encodes tables for the register that stores them (design 14.12).
//
// Apply computes the table that a change leads to, Check lists the problems of a table,
// and StatusOf distinguishes a change that is sent again from a new one (design 18).
// Encode and Decode convert tables to and from the stored form, schema.RoutingTable;
// large tables are compressed. All functions are pure: they never modify a table that
// is passed in.
package routingtable
