package fleetsimulation

import (
	"slices"

	"stoneford/internal/coordinator"
)

// platform models the orchestration platform, which promotes databases on request.
type platform struct {
	ip                   string
	responseUs           int64
	rejectProbability    float64
	lostReplyProbability float64
	minPromotionUs       int64 // minimum duration of a promotion
	calls                int
}

const platformHost = "10.200.0.160"

// promotionTimeoutUs bounds a call to the platform.
const promotionTimeoutUs = 1_500_000

// promotion is a control process's call to the platform to promote a database.
type promotion struct {
	fleet      *Fleet
	control    *Control
	generation int
	call       coordinator.Promote
	deadlineUs int64 // true time at which the call times out, at the latest when the lease ends
	ended      bool
}

// promote calls the platform if the lease is still valid.
func (c *Control) promote(d coordinator.Promote) {
	f := c.fleet
	p := &promotion{fleet: f, control: c, generation: c.generation, call: d}
	timeoutUs := min(promotionTimeoutUs, d.Promote.LeaseExpiresAtUs-c.now())
	if timeoutUs <= 0 {
		p.end(false, false)
		return
	}
	trueTimeoutUs := int64(float64(timeoutUs) / c.clockRate)
	p.deadlineUs = f.Now + trueTimeoutUs
	f.After(trueTimeoutUs, func() {
		if !c.frozen {
			p.end(false, false)
		}
	})
	f.network.transmit(c.ip, f.platform.ip, p.arrive)
}

// end completes the call. accepted reports that the platform accepted the promotion, gone
// that the database no longer runs.
func (p *promotion) end(accepted, gone bool) {
	if p.ended || !p.control.up || p.control.generation != p.generation {
		return
	}
	p.ended = true
	p.control.post("platform", coordinator.PromoteDone{Group: p.call.Group, OK: accepted, Gone: gone})
}

// reply sends the platform's reply.
func (p *promotion) reply(accepted, gone bool) {
	p.fleet.network.transmit(p.fleet.platform.ip, p.control.ip, func() { p.end(accepted, gone) })
}

// arrive receives the call at the platform. Late calls arrive only from a frozen process,
// since any other process has reset the connection at its time-out.
func (p *promotion) arrive() {
	f, c := p.fleet, p.control
	if f.Now > p.deadlineUs && !(c.generation == p.generation && c.up && c.frozen) {
		return
	}
	f.platform.calls++
	f.primaryRoles.promotionArrived(c, p.call, p.generation, p.deadlineUs)
	if f.Chance(f.platform.rejectProbability) {
		p.reply(false, false)
		return
	}
	f.After(f.platform.responseUs, p.respond)
}

// respond starts the promotion, and replies unless a fault loses the reply.
func (p *promotion) respond() {
	f := p.fleet
	reply := func(accepted, gone bool) {
		if !f.Chance(f.platform.lostReplyProbability) {
			p.reply(accepted, gone)
		}
	}
	g := f.group(p.call.Group)
	i := slices.IndexFunc(g.databases, func(d *Database) bool { return d.id == p.call.Promote.ID })
	f.logf("%s requests the promotion of %s of %s from the platform", p.control.name, p.call.Promote.ID, p.call.Group)
	if i < 0 || !g.databases[i].up {
		reply(false, true)
		return
	}
	db := g.databases[i]
	reply(true, false)
	if db == g.primary && db.primary || f.Plan.Mutation == PromotionsForgotten {
		return
	}
	f.After(f.platform.minPromotionUs+f.Between(0, f.platform.minPromotionUs/4), func() {
		if db.up && !db.removed {
			db.promote()
		}
	})
}
