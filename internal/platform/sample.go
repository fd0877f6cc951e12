package platform

// WireSamples has the wire's lines as stand-ins of databases and callers say them: the
// opening and its end, a statement, an end with a stamp, a status row, the word of
// a write, a write and a read with places for id and fields, an end without a
// stamp. Measurements outside this folder build on it, so that no word stands
// there.
var WireSamples = []string{
	"CONNECT",
	"READY I 1.%d",
	"QUERY",
	"COMPLETE 7.1",
	"ROW one;two;three;four",
	"STORE",
	"QUERY %s STORE %s",
	"QUERY %s FETCH %s",
	"COMPLETE -",
}
