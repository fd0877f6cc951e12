package coordinator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"stoneford/failover/fenced"
	"stoneford/internal/ports"
)

// promoteTimeout limits a Promote call to the platform.
const promoteTimeout = 1500 * time.Millisecond

// leaseLeft returns a timeout that is limited to the rest of a lease. It must be computed
// right before the call that depends on the lease, because the call may start long after
// the step that decided on it.
func (p *Process) leaseLeft(until int64, timeout time.Duration) time.Duration {
	return min(timeout, time.Duration(until-p.nowUs())*time.Microsecond)
}

// callDatabase calls a database and posts its reply. Every call except a status request
// needs a lease.
func (p *Process) callDatabase(effect DatabaseCall) {
	call := effect.Call
	timeout := time.Duration(call.TimeoutUs) * time.Microsecond
	if call.Kind != ports.Status {
		timeout = p.leaseLeft(call.LeaseExpiresAtUs, timeout)
		if timeout <= 0 {
			p.post(DatabaseReply{Group: effect.Group, Reply: fenced.DatabaseReply{ID: call.ID, NotSent: true}})
			return
		}
	}
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	database := call.Instance
	operation := ports.Op{Internal: true, Statement: ports.Statement{Kind: call.Kind}, Term: call.Term}
	status, code, err := p.databases.Do(ctx, database.Address, database.Group, database.ID, operation)
	reply := fenced.DatabaseReply{ID: call.ID, Status: status}
	switch {
	case code == ports.WrongInstance:
		reply.Err, reply.Absent = "a different database is running at this address", true
	case err != nil:
		// A database that rejects the connection, because it has too many, is present.
		reply.Err, reply.Absent = err.Error(), code == ports.Done && !isTimeout(err)
	case code != ports.Done:
		reply.Err = "the database rejected the call"
	}
	p.post(DatabaseReply{Group: effect.Group, Reply: reply})
}

// isTimeout reports whether a call failed with a timeout, so that the state of the other
// side is unknown.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}

// promote requests a change of primary from the platform and posts the reply.
func (p *Process) promote(effect Promote) {
	order := effect.Promote
	timeout := p.leaseLeft(order.LeaseExpiresAtUs, promoteTimeout)
	if timeout <= 0 {
		p.post(PromoteDone{Group: effect.Group})
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	status, err := p.provider.Promote(ctx, effect.Group, order.ID, order.Owner, order.FencingToken)
	log.WithFields(log.Fields{"group": effect.Group, "database": order.ID, "status": status}).Info("requested a change of primary from the platform")
	p.post(PromoteDone{
		Group: effect.Group,
		OK:    err == nil && status == http.StatusOK,
		Gone:  err == nil && status == http.StatusConflict,
	})
}
