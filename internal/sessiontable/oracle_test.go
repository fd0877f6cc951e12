package sessiontable

import (
	"stoneford/internal/ports"
)

// oracle is what is known of a statement: as its caller sent it, and what came of it.
type oracle struct {
	client           *client
	kind             ports.StatementKind
	tx               string // its transaction's beginning
	at               int64  // its arrival, or its transaction's
	values           map[string]string
	shape            shapeKey
	route            ports.Route
	floor            ports.Position
	ran              int
	answered         bool
	nothingCommitted bool // its reply said that it has no effect
	code             ports.Code
}

func (o *oracle) wrote() bool {
	return o.kind == ports.Write || o.kind == ports.Execute && o.shape.writes
}

// acknowledgement is a commit that was acknowledged to a caller.
type acknowledgement struct {
	at       int64
	position ports.Position
}

func (env *environment) recordAcknowledged(pos ports.Position) {
	env.acks = append(env.acks, acknowledgement{env.now, pos})
}

// checkFreshness checks that a read sees what its route promises.
func (env *environment) checkFreshness(db *fakeDB, id string, expected *oracle) {
	lim := expected.at
	if expected.route.Class != ports.CurrentRead {
		lim -= expected.route.MaxStalenessUs
	}
	if env.leadership.Primary != db.id {
		env.replicaReads++
	}
	need := expected.floor
	if expected.route.Class != ports.ReadYourWrites {
		need = ports.Position{}
	}
	for i := len(env.acks) - 1; i >= 0; i-- {
		if a := env.acks[i]; a.at < lim {
			if need.Before(a.position) {
				need = a.position
			}
		}
	}
	if need.Known() && (db.applied < int(need.Number) || db.log[need.Number-1].position != need) {
		env.fatal("%s (kind %d, came %d) reads stale at %s: it has %v and %v was acknowledged", id, expected.route.Class, expected.at, db.id, db.position(), need)
	}
}

func (env *environment) posOf(id string) ports.Position {
	for _, db := range env.dbs {
		for i := len(db.log) - 1; i >= 0; i-- {
			for _, x := range db.log[i].ids {
				if x == id {
					return db.log[i].position
				}
			}
		}
	}
	env.fatal("%s was acknowledged and is in no log", id)
	return ports.Position{}
}
