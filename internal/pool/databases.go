package pool

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"stoneford/internal/databaseclient"
	"stoneford/internal/querytable"
)

const (
	// connectTimeout bounds the calls that open or close a connection.
	connectTimeout = time.Second
	// pollSlack is the time that a poll may take in addition to the time that the
	// database may delay its reply.
	pollSlack = 500 * time.Millisecond
)

func (r *runner) open(e querytable.OpenConnection) {
	ctx, stop := context.WithTimeout(r.process.ctx, connectTimeout)
	defer stop()
	id, err := r.process.databases.Open(ctx, e.Address, r.process.config.Name, r.process.run)
	r.loop.Post(querytable.ConnectionOpened{ConnectionID: e.ConnectionID, Address: e.Address, RemoteID: id, Err: errText(err)})
}

func (r *runner) close(e querytable.CloseConnection) {
	ctx, stop := context.WithTimeout(r.process.ctx, connectTimeout)
	defer stop()
	if err := r.process.databases.Close(ctx, e.Address, e.RemoteID); err != nil {
		log.WithFields(log.Fields{"address": e.Address}).WithError(err).Debug("closing a database connection failed")
	}
}

// run executes a run on a database. now is the time of the step that emitted e.
func (r *runner) run(e querytable.Run, now int64) {
	ctx, stop := context.WithTimeout(r.process.ctx, time.Duration(e.DeadlineUs-now)*time.Microsecond)
	defer stop()
	ops := make([]databaseclient.Op, len(e.Ops))
	for i, o := range e.Ops {
		ops[i] = databaseclient.Op(o)
	}
	out, err := r.process.databases.Run(ctx, e.Address, e.RemoteID, e.Epoch, e.ReadOnly, ops)
	ended := querytable.RunEnded{
		RunID:           e.RunID,
		Err:             errText(err),
		MaybeSent:       err != nil && !errors.Is(err, databaseclient.ErrNotSent),
		RejectionReason: out.Rejected,
		Epoch:           out.Epoch,
		Applied:         out.Applied,
	}
	for _, s := range out.Results {
		ended.Results = append(ended.Results, querytable.Result(s))
	}
	r.loop.Post(ended)
}

func (r *runner) poll(e querytable.Poll) {
	ctx, stop := context.WithTimeout(r.process.ctx, time.Duration(e.WaitUs)*time.Microsecond+pollSlack)
	defer stop()
	s, err := r.process.databases.Poll(ctx, e.Address, e.MinReceived, e.MinApplied, e.WaitUs)
	r.loop.Post(querytable.PollEnded{PollID: e.PollID, Err: errText(err), Status: querytable.Status{
		Identity: s.Identity,
		Role:     s.Role,
		Epoch:    s.Epoch,
		LogEpoch: s.LogEpoch,
		Received: s.Received,
		Applied:  s.Applied,
		Draining: s.Draining,
	}})
}

// errText returns the text of an error, "" for nil.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
