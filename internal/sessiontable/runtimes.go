package sessiontable

import "stoneford/internal/ports"

// runClasses is the number of statement classes with separate average run times: one for
// each read class of a route, for reads and for writes.
const runClasses = 6

// runTime is a moving average of the run times of one class of statements at a database.
type runTime struct {
	averageUs int64 // 0 if unknown
	updatedUs int64
}

// add updates the average with a measured run time.
func (r *runTime) add(now, durationUs int64) {
	r.updatedUs = now
	if r.averageUs == 0 {
		r.averageUs = durationUs
		return
	}
	r.averageUs = max(r.averageUs+(durationUs-r.averageUs)/8, 1)
}

// runClass returns the statement class of the request.
func (r *request) runClass() int {
	class := int(r.route.Class) * 2
	if r.writes || r.commit {
		class++
	}
	return class
}

// expectedRunTimeUs returns the expected run time of a statement of a class at a
// database, in µs. If there is no average, or a long one is outdated, it returns the
// assumed run time, so that a database that was slow gets statements again.
func (t *Table) expectedRunTimeUs(db *database, class int) int64 {
	assumed := t.options.RemoteRunTime.Microseconds()
	if db.Zone == t.zone {
		assumed = t.options.LocalRunTime.Microseconds()
	}
	measured := db.runTimes[class]
	outdated := t.now > measured.updatedUs+t.options.RunTimeRetention.Microseconds()
	if measured.averageUs == 0 || outdated && measured.averageUs > assumed {
		return assumed
	}
	return measured.averageUs
}

// unresponsiveAfterUs returns how long a request may run before its database counts as
// failing, in µs.
func (t *Table) unresponsiveAfterUs(db *database, req *request) int64 {
	return max(t.options.UnresponsiveAfter.Microseconds(), 8*t.expectedRunTimeUs(db, req.runClass()))
}

// recordAnswer updates a database's average run time and concurrency limit from an answer.
// A Busy answer halves the limit; successes raise it slowly while it is used up. req is nil
// if no request waits for the answer.
func (t *Table) recordAnswer(db *database, req *request, code ports.Code, sentUs int64) {
	class := 0
	if req != nil {
		class = req.runClass()
	}
	if code == ports.Busy {
		db.concurrencyLimit = max(1, db.concurrencyLimit/2)
		run := t.expectedRunTimeUs(db, class)
		db.busyUntilUs = t.now + run/2 + t.rand.Int64N(run+1)
		return
	}
	if code != ports.Done {
		return
	}
	if req != nil {
		db.runTimes[class].add(t.now, max(t.now-sentUs, 1))
	}
	if db.running+1 >= int(db.concurrencyLimit) {
		db.concurrencyLimit = min(db.concurrencyLimit+0.25/max(db.concurrencyLimit, 1), float64(max(2, t.capacity(db))))
	}
}
