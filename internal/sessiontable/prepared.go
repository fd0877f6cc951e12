package sessiontable

import "strconv"

// maxPreparedShapes bounds the prepared statements that the node remembers.
const maxPreparedShapes = 4096

// shapeKey is the text of a prepared statement.
type shapeKey struct {
	writes bool
	text   string
}

// preparedShape is a prepared statement. On connections it has one name for all
// sessions of the node (design 14.8).
type preparedShape struct {
	shapeKey
	name string
}

// preparedStatements are the prepared statements of all sessions.
type preparedStatements struct {
	byShape  map[shapeKey]*preparedShape
	lastName uint64
}

// shape is the prepared statement of a text. Beyond maxPreparedShapes all are
// forgotten: those in use live on in their sessions and on their connections, and a name
// is never used twice.
func (p *preparedStatements) shape(key shapeKey) *preparedShape {
	shape := p.byShape[key]
	if shape == nil {
		if len(p.byShape) >= maxPreparedShapes {
			clear(p.byShape)
		}
		p.lastName++
		shape = &preparedShape{shapeKey: key, name: "p" + strconv.FormatUint(p.lastName, 10)}
		p.byShape[key] = shape
	}
	return shape
}
