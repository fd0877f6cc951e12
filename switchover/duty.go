package switchover

import (
	"stoneford/ports"
	"stoneford/voterview"
)

// A group's duty has one holder at a time (design 16). The holder, its run and a
// fencing token stand in the group's register. Whoever commands a database or
// calls the platform is the agreed holder, has a lease of the voters' word at
// that moment, met a majority after the newest change of the register, and has
// waited out the lease of the holder before.

// Duty is what a process knows of its own standing towards a group's duty.
type Duty struct {
	Self string
	Run  uint64 // of this process
	// Lease is when the newest look that a majority of voters returned was sent,
	// and until when it counts, both by this process's clock: whoever acts upon a
	// register newer than those returned does so after that.
	Lease Lease
	// Eligible says that this process may hold a duty: it votes and does not leave.
	Eligible bool
	// Successor says that it is the one to claim the duty of a holder that is lost.
	Successor bool
	// HolderPresent says that the agreed holder was heard lately in the run that
	// claimed, and that it neither leaves nor lacks a lease.
	HolderPresent bool
}

// Lease is a time on one process's clock within which it may act.
type Lease struct{ From, Until int64 }

// commandAgain is how soon a command that is not allowed yet is tried again.
const commandAgain = 10_000

// proposeExpiry is how long a revision that was asked for is waited for.
const proposeExpiry = 4_000_000

// tenure is this run's time as the holder of a group's duty.
type tenure struct {
	fence    uint64 // that it holds the duty under, 0 for none
	since    int64  // when its claim was first seen as agreed
	free     uint64 // fence that follows a holder that handed over, or none: nothing is waited out
	resigned uint64 // newest fence that it offered to hand over: it acts no more under that one
	rev      uint64 // newest revision of the register seen
	revAt    int64  // when it was first seen
	until    int64  // end of the lease
	commands bool   // databases may be commanded and the platform called now
	mayAt    int64  // since when, without a break
	actedAt  int64  // when the holder's step last went through
	calls    int    // to the platform, under way
	unsureAt int64  // when a command or call last ended without an answer
}

// observe notes when the newest revision, and the claim in it, were first seen.
func (g *Group) observe(now int64, in Input) {
	t := &g.tenure
	if in.Rev != t.rev {
		t.rev, t.revAt = in.Rev, now
	}
	switch {
	case !in.holds():
		t.fence = 0
	case t.fence != in.State.Fence:
		t.fence, t.since = in.State.Fence, now
	}
	t.until = in.Duty.Lease.Until
	may := in.Settled && g.Acts(now, in) && in.Duty.Lease.From >= t.revAt && g.waitedOut(now)
	if may && !t.commands {
		t.mayAt = now
	}
	t.commands = may
}

// holds says that this run of this process is the agreed holder.
func (in Input) holds() bool {
	return in.Rev > 0 && in.State.Holder == in.Duty.Self && in.State.HolderRun == in.Duty.Run
}

// leased says that a majority's word counts now.
func (in Input) leased(now int64) bool { return now < in.Duty.Lease.Until }

// Acts says that this process carries the group's changes out: it is the agreed
// holder, and a majority's word counts.
func (g *Group) Acts(now int64, in Input) bool {
	if !in.leased(now) || !in.Duty.Eligible {
		return false
	}
	if in.Rev == 0 {
		return in.Duty.Successor // it founds the group
	}
	return in.holds() && in.State.Fence > g.tenure.resigned
}

// waitedOut says that no lease of the holder before is left. Each of its leases
// began with a look that a majority returned before that majority accepted the
// claim, so before the claim was seen as agreed here; a tenth more than a lease,
// on this clock, covers both clocks' rates.
func (g *Group) waitedOut(now int64) bool {
	t := &g.tenure
	if t.fence == 0 {
		return false
	}
	if t.free == t.fence || now-t.since >= voterview.WaitUs {
		return true
	}
	g.wake(t.since + voterview.WaitUs)
	return false
}

func (g *Group) proposing(now int64) bool {
	return g.putting > 0 && now-g.putting < proposeExpiry
}

// changeHolder claims the duty of a holder that is lost, or hands this process's
// own over.
func (g *Group) changeHolder(now int64, in Input) {
	if in.Rev == 0 || !in.Settled || !in.leased(now) || g.proposing(now) {
		return
	}
	switch {
	case !in.Duty.Eligible:
		if in.holds() {
			g.handOver(now, in)
		}
	case in.holds(), in.Duty.Successor && !in.Duty.HolderPresent:
		g.claim(now, in)
	}
}

// claim asks for the duty under the next fence.
func (g *Group) claim(now int64, in Input) {
	n := next(in, ports.Phase(in.State.Phase), in.State.Cause)
	n.Holder, n.HolderRun, n.Fence = in.Duty.Self, in.Duty.Run, in.State.Fence+1
	if in.State.Holder == "" {
		g.tenure.free = n.Fence
	}
	g.put(now, in, n)
}

// handOver leaves the duty without a holder, so that the next one waits for
// nothing. It is done only where nothing of this holder's can take effect any
// more, and where the one before it was waited out.
func (g *Group) handOver(now int64, in Input) {
	t := &g.tenure
	if !g.waitedOut(now) || g.underWay() || t.unsureAt > 0 && now-t.unsureAt < voterview.WaitUs {
		g.wake(now + commandAgain)
		return
	}
	t.resigned = in.State.Fence
	n := next(in, ports.Phase(in.State.Phase), in.State.Cause)
	n.Holder, n.HolderRun = "", 0
	g.put(now, in, n)
}

// underWay says that a command or a call to the platform has not ended.
func (g *Group) underWay() bool {
	if g.tenure.calls > 0 {
		return true
	}
	for _, q := range g.qs {
		if q.kind != ports.Status {
			return true
		}
	}
	return false
}

// called notes the end of a call to the platform.
func (t *tenure) called(now int64, ok bool) {
	t.calls--
	if !ok {
		t.unsureAt = now
	}
}
