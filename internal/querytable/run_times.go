package querytable

// averageWeight is the weight of the past in moving averages: each new value moves the
// average by 1/averageWeight of the difference.
const averageWeight = 8

// runTimes holds the moving averages of run times in microseconds.
type runTimes map[runTimeKey]int64

// runTimeKey is a class of queries at a database.
type runTimeKey struct{ class, database string }

// record adds the duration of a run to an average.
func (r runTimes) record(key runTimeKey, us int64) {
	if average, ok := r[key]; ok {
		us = average + (us-average)/averageWeight
	}
	r[key] = us
}

// recordRun adds the duration of a query's run to the averages.
func (t *Table) recordRun(q *query, us int64) {
	t.runTimes.record(runTimeKey{q.class.Name, q.database}, us)
}

// averageRunUs returns the average run time of a class at a database in microseconds or,
// if database is "", the lowest average of all databases. It is 0 if no run was recorded.
func (t *Table) averageRunUs(class, database string) int64 {
	if database != "" {
		return t.runTimes[runTimeKey{class, database}]
	}
	lowestUs := int64(-1)
	for _, m := range t.desired.Members {
		if us, ok := t.runTimes[runTimeKey{class, m.Name}]; ok && (lowestUs < 0 || us < lowestUs) {
			lowestUs = us
		}
	}
	return max(lowestUs, 0)
}

// loadUs returns the expected remaining run time in microseconds of the queries that run
// or wait at a database.
func (t *Table) loadUs(now int64, database string) int64 {
	var us int64
	for _, q := range t.queries {
		if q.database != database {
			continue
		}
		switch q.state {
		case running:
			us += max(0, t.averageRunUs(q.class.Name, database)-(now-q.sentAt))
		case awaitingConnection, awaitingPosition:
			us += t.averageRunUs(q.class.Name, database)
		}
	}
	return us
}
