package control

import (
	"context"
	"time"

	"github.com/apex/log"

	"stoneford/failover/sealed"
	"stoneford/internal/databaseclient"
)

const (
	// databaseCallTimeout bounds a call to a database. After it the failover decision
	// treats the database as unreachable.
	databaseCallTimeout = 500 * time.Millisecond
	// platformCallTimeout bounds a request to the platform. It is longer than
	// databaseCallTimeout because the platform may have to call several databases.
	platformCallTimeout = 2 * time.Second
	// wallClockInterval is the time between two WallClock events.
	wallClockInterval = time.Second
)

// postWallClock posts the time of day to the core at wallClockInterval until the context
// ends.
func (p *Process) postWallClock(ctx context.Context) {
	t := p.clock.NewTicker(wallClockInterval)
	defer t.Stop()
	for {
		p.post(WallClock{UnixMicro: p.clock.Now().UnixMicro()})
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
	}
}

// callDatabase polls a database's status or, with a SealEpoch, seals the database.
func (p *Process) callDatabase(d DatabaseCall) {
	ctx, stop := context.WithTimeout(p.ctx, databaseCallTimeout)
	defer stop()
	var s databaseclient.Status
	var err error
	if d.SealEpoch > 0 {
		s, err = p.databases.Seal(ctx, d.Address, d.SealEpoch)
	} else {
		s, err = p.databases.Poll(ctx, d.Address, 0, 0, 0)
	}
	p.post(DatabaseReply{Group: d.Group, ID: d.ID, Failed: err != nil, Status: sealed.Status{Identity: s.Identity, Role: s.Role, Epoch: s.Epoch,
		LogEpoch: s.LogEpoch, Received: s.Received, Applied: s.Applied, Following: s.Following, Draining: s.Draining}})
}

// requestFailover asks the platform to make a database the primary of its group.
func (p *Process) requestFailover(d FailoverRequest) {
	members := make([]databaseclient.Member, len(d.Members))
	for i, m := range d.Members {
		members[i] = databaseclient.Member(m)
	}
	p.callPlatform("takeover", func(ctx context.Context) error {
		return p.databases.Takeover(ctx, p.config.Platform, d.Group, d.Target, d.Identity, d.Epoch, members)
	})
}

// requestReplacement asks the platform to replace a database with a new, empty database.
func (p *Process) requestReplacement(d ReplaceDatabase) {
	p.callPlatform("replace", func(ctx context.Context) error {
		return p.databases.Replace(ctx, p.config.Platform, d.Database, d.Address, d.Identity)
	})
}

// requestStop asks the platform to stop a machine's pool node.
func (p *Process) requestStop(d StopMachine) {
	p.callPlatform("stop", func(ctx context.Context) error {
		return p.databases.StopMachine(ctx, p.config.Platform, d.Machine)
	})
}

// callPlatform sends a request to the platform and logs a failure. The core repeats the
// request until a status shows that it was carried out.
func (p *Process) callPlatform(request string, call func(context.Context) error) {
	ctx, stop := context.WithTimeout(p.ctx, platformCallTimeout)
	defer stop()
	if err := call(ctx); err != nil {
		log.WithFields(log.Fields{"asked_for": request}).WithError(err).Warn("request to the platform failed and will be repeated")
	}
}
