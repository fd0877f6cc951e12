// Package routingtable checks and applies operators' changes of the routing table
// and encodes tables for the register that holds them (design 14.12).
//
// Apply makes the next table of a change, Check names what makes a table invalid,
// and OrderStatus distinguishes an order that is sent again from a new one (design 18).
// Encode and Decode convert tables to and from the stored form, schema.RoutingTable;
// tables of a certain size are compressed. All functions are pure: a table that is
// passed in is never changed.
package routingtable
