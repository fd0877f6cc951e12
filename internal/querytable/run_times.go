package querytable

// averageWeight is the weight of the past in moving averages: each new value moves an
// average by one part in so many.
const averageWeight = 8

// runTimes holds the moving average of the run times of a class at a database, in
// microseconds.
type runTimes map[classAt]int64

// classAt is a class at a database.
type classAt struct{ class, database string }

// record moves an average by the time that a run took.
func (r runTimes) record(at classAt, us int64) {
	if average, ok := r[at]; ok {
		us = average + (us-average)/averageWeight
	}
	r[at] = us
}

// recordRun takes into the averages how long a query's run took.
func (t *Table) recordRun(q *query, us int64) {
	t.runTimes.record(classAt{q.class.Name, q.database}, us)
}

// averageRun is the average run time of a class at a database, in microseconds; at ""
// the least of all databases'. It is 0 if there was no run yet.
func (t *Table) averageRun(class, database string) int64 {
	if database != "" {
		return t.runTimes[classAt{class, database}]
	}
	least := int64(-1)
	for _, m := range t.desired.Members {
		if us, ok := t.runTimes[classAt{class, m.Name}]; ok && (least < 0 || us < least) {
			least = us
		}
	}
	return max(least, 0)
}

// load is the remaining run time of the queries that run or wait at a database, in
// microseconds.
func (t *Table) load(now int64, database string) int64 {
	var us int64
	for _, q := range t.queries {
		if q.database != database {
			continue
		}
		switch q.state {
		case running:
			us += max(0, t.averageRun(q.class.Name, database)-(now-q.sentAt))
		case awaitingConnection, awaitingPosition:
			us += t.averageRun(q.class.Name, database)
		}
	}
	return us
}
