package scale

import (
	"context"
	"math"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"stoneford/links"
	"stoneford/ports"
	"stoneford/schema"
	"stoneford/sessionpool"
	"stoneford/sessiontable"
	"stoneford/voterview"
)

const leastTick = 500 * time.Microsecond

// Hollow are pool nodes without callers that share one process: the cores of the
// product, each behind links and an address of its own.
type Hollow struct {
	Traffic Traffic
	mu      sync.Mutex
	nodes   []*node
	run     uint64
	watch   watch
}

// watch is the change of primary that is being measured.
type watch struct {
	group string
	term  uint64 // before it
}

type node struct {
	h     *Hollow
	boot  ports.Boot
	stop  context.CancelFunc
	ended chan struct{}
	links *links.Links

	mu      sync.Mutex
	core    *sessionpool.Core
	alarm   *time.Timer
	alarmAt int64
	began   int64
	readyUs int64
	rev     uint64
	revUs   int64
	life    map[string]uint64 // of each voter, as last returned
	lifeUs  map[string]int64
	cells   map[string]*schema.Cell // by voter, of the group that is watched
	sealUs  int64
	openUs  int64
}

// NewHollow makes nodes; the first has the number first.
func NewHollow(first, n, controls int) *Hollow {
	h := &Hollow{run: uint64(time.Now().UnixMicro())}
	for i := range n {
		h.nodes = append(h.nodes, &node{h: h, boot: Boot("node-"+NodeIP(first+i), NodeIP(first+i), first+i, controls, "")})
	}
	return h
}

// Start starts some at once.
func (h *Hollow) Start(from, to int) error {
	h.run++
	for _, n := range h.nodes[from:to] {
		if err := n.start(h.run); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends all of them, without a word.
func (h *Hollow) Stop() {
	for _, n := range h.nodes {
		n.stop()
		n.mu.Lock()
		if n.alarm != nil {
			n.alarm.Stop()
		}
		n.mu.Unlock()
	}
	for _, n := range h.nodes {
		<-n.ended
	}
}

func (n *node) start(run uint64) error {
	ctx, stop := context.WithCancel(context.Background())
	self := n.boot.PoolNode()
	ln, err := net.Listen("tcp", self)
	if err != nil {
		stop()
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.stop, n.ended = stop, ended
	n.core = sessionpool.NewCore(n.boot, run, run, sessiontable.Options{BeginApart: true})
	n.began, n.readyUs, n.rev, n.revUs, n.alarm, n.alarmAt = NowUs(), 0, 0, 0, nil, 0
	n.life, n.lifeUs, n.cells = map[string]uint64{}, map[string]int64{}, map[string]*schema.Cell{}
	l := links.New(ctx, self, links.Local(self), func(e *schema.Envelope) {
		n.h.Traffic.Came(e)
		n.step(ctx, e)
	})
	n.links = l
	n.mu.Unlock()
	go func() {
		defer close(ended)
		if err := l.Serve(ln); err != nil && ctx.Err() == nil {
			panic(err)
		}
	}()
	n.step(ctx, sessiontable.Tick{})
	return nil
}

func (n *node) step(ctx context.Context, evs ...any) {
	n.mu.Lock()
	if ctx.Err() != nil {
		n.mu.Unlock()
		return
	}
	now := NowUs()
	for _, e := range evs {
		if e, ok := e.(*schema.Envelope); ok {
			n.note(now, e)
		}
	}
	fx := n.core.Step(now, evs...)
	now = NowUs()
	if r := n.core.Revision(); r != n.rev {
		n.rev, n.revUs = r, now
	}
	if n.readyUs == 0 && n.core.Ready(now) {
		n.readyUs = now
	}
	if due := n.core.Due(); due != math.MaxInt64 && (n.alarmAt == 0 || due < n.alarmAt) {
		n.alarmAt = due
		d := max(time.Duration(due-now)*time.Microsecond, leastTick)
		if n.alarm == nil {
			n.alarm = time.AfterFunc(d, func() {
				n.mu.Lock()
				n.alarmAt = 0
				n.mu.Unlock()
				n.step(ctx, sessiontable.Tick{})
			})
		} else {
			n.alarm.Reset(d)
		}
	}
	l := n.links
	n.mu.Unlock()
	for _, s := range fx.Send {
		n.h.Traffic.Left(s.Env)
		l.Send(s.To, s.Env)
	}
}

// note takes what the run waits for out of a return: the voter's run, and the
// leadership that is watched.
func (n *node) note(now int64, e *schema.Envelope) {
	r := e.GetLookReturn()
	if r == nil {
		return
	}
	if r.Active > 0 && r.Life != n.life[e.From] {
		n.life[e.From], n.lifeUs[e.From] = r.Life, now
	}
	n.h.mu.Lock()
	w := n.h.watch
	n.h.mu.Unlock()
	if w.group == "" {
		return
	}
	for _, c := range r.Cells {
		if c.Key == voterview.LeaderPrefix+w.group {
			n.cells[e.From] = c
			n.watched(now, w)
		}
	}
}

// watched notes when a majority of voters has shown this node a change's
// sealing, and the opening that ends it.
func (n *node) watched(now int64, w watch) {
	for _, c := range n.cells {
		k := 0
		for _, o := range n.cells {
			if o.Value.GetRevision() >= c.Value.GetRevision() {
				k++
			}
		}
		l := leadership(c.Value.GetData())
		if k <= len(n.boot.Seeds)/2 {
			continue
		}
		if n.sealUs == 0 && ports.Phase(l.Phase) >= ports.PhaseSealing {
			n.sealUs = now
		}
		if n.openUs == 0 && l.Term > w.term && ports.Phase(l.Phase) == ports.PhaseOpen {
			n.openUs = now
		}
	}
}

func leadership(data []byte) *schema.Leadership {
	l := &schema.Leadership{}
	if proto.Unmarshal(data, l) != nil {
		return &schema.Leadership{}
	}
	return l
}

// Watch begins to measure a change of primary of a group that is in a term.
func (h *Hollow) Watch(group string, term uint64) {
	h.mu.Lock()
	h.watch = watch{group, term}
	h.mu.Unlock()
	for _, n := range h.nodes {
		n.mu.Lock()
		n.cells, n.sealUs, n.openUs = map[string]*schema.Cell{}, 0, 0
		n.mu.Unlock()
	}
}

// Moments is when nodes got somewhere: how many did, when the first, the middle
// and the last of them did.
type Moments struct {
	Count               int
	First, Median, Last int64
}

// MomentsOf sums moments up; 0 is one that did not come.
func MomentsOf(us []int64) Moments {
	us = slices.DeleteFunc(us, func(u int64) bool { return u == 0 })
	if len(us) == 0 {
		return Moments{}
	}
	slices.Sort(us)
	return Moments{Count: len(us), First: us[0], Median: us[len(us)/2], Last: us[len(us)-1]}
}

func (h *Hollow) moments(f func(*node) int64) Moments {
	var us []int64
	for _, n := range h.nodes {
		n.mu.Lock()
		us = append(us, f(n))
		n.mu.Unlock()
	}
	return MomentsOf(us)
}

// Ready is when nodes became ready, in this run of theirs.
func (h *Hollow) Ready() Moments { return h.moments(func(n *node) int64 { return n.readyUs }) }

// InForce is when a revision of the routing table came in force.
func (h *Hollow) InForce(rev uint64) Moments {
	return h.moments(func(n *node) int64 {
		if n.rev < rev {
			return 0
		}
		return n.revUs
	})
}

// Sealed is when nodes knew of the sealing that is watched.
func (h *Hollow) Sealed() Moments { return h.moments(func(n *node) int64 { return n.sealUs }) }

// Opened is when nodes knew of the opening that is watched.
func (h *Hollow) Opened() Moments { return h.moments(func(n *node) int64 { return n.openUs }) }

// Heard is when nodes first heard a run of a control process that began after a
// moment.
func (h *Hollow) Heard(control int, after int64) Moments {
	at := net.JoinHostPort(ControlIP(control), "")
	return h.moments(func(n *node) int64 {
		for v, us := range n.lifeUs {
			if strings.HasPrefix(v, at) && us > after {
				return us
			}
		}
		return 0
	})
}
