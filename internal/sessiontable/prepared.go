package sessiontable

import "strconv"

// maxCachedPrepared bounds the prepared statements in the node's cache.
const maxCachedPrepared = 4096

// preparedKey identifies a prepared statement by its text and whether it writes.
type preparedKey struct {
	writes bool
	text   string
}

// preparedStatement is a prepared statement. All sessions of the node use the same name
// for it on connections (design 14.8).
type preparedStatement struct {
	preparedKey
	name string
}

// preparedCache maps texts to prepared statements for all sessions of the node.
type preparedCache struct {
	byKey    map[preparedKey]*preparedStatement
	lastName uint64
}

// get returns the prepared statement of a key, and creates it if necessary. When the cache
// is full it is cleared: sessions and connections keep the statements that they use, and
// names are never reused.
func (p *preparedCache) get(key preparedKey) *preparedStatement {
	statement := p.byKey[key]
	if statement == nil {
		if len(p.byKey) >= maxCachedPrepared {
			clear(p.byKey)
		}
		p.lastName++
		statement = &preparedStatement{preparedKey: key, name: "p" + strconv.FormatUint(p.lastName, 10)}
		p.byKey[key] = statement
	}
	return statement
}
