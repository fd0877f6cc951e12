package ports

import (
	"cmp"
	"net"
	"strconv"
)

// Boot is what a process is told when it starts, and again when that changes.
type Boot struct {
	Name   string
	Role   string
	Zone   string
	Region string
	IP     string
	Zones  map[string]string // the region of each zone known

	ServesCallers bool
	ServesControl bool
	Front         string // callers' address, where it serves callers
	Ready         string // address at which readiness is asked, there too
	Control       string // address for databases and operators, where it serves control

	// The ports for traffic between processes, the same on all machines: control
	// processes listen on the first, pool nodes on the one after it. Each tells its
	// state to operators StateAfter ports further on.
	PortFirst, PortLast int
	// ListenNodes is where the process listens for other processes where that is not
	// the address that these know: something in between passes it on.
	ListenNodes string

	Seeds        []string // control addresses of some control processes
	Bootstrap    bool     // the whole system starts for the first time
	QuorumMember bool     // counts for what can be lost
	DataFolder   string   // empty where there is no disk
	Provider     string   // address of the platform's own calls, empty where there are none
	PerS         float64  // such calls a second, for all processes together, 0 if unknown

	BeatUs int64 // how often databases announce themselves

	MemoryMB   int64
	DiskMB     int64
	CPUShare   float64
	FDs        int64
	LostAtOnce Tolerance
	Bounds     Bounds
}

// Tolerance is what may be lost at the same time.
type Tolerance struct{ Machines, Zones, Regions int }

// Bounds are the times the system is held to; 0 where none is named.
type Bounds struct {
	SeedLagUs    int64 // how far lists of control processes lag
	ReuseAfterUs int64 // an address may be another's after this
	ContactUs    int64
	AckUs        int64
	CatchUpUs    int64
	DrainUs      int64
	GraceUs      int64 // from the order to stop until the kill
	LossSlackUs  int64
	ApplyUs      int64
	RevertUs     int64
	StretchUs    int64
	RecoverUs    int64
	ThawUs       int64
	FenceChecked bool
	// TakenOutUs is how long callers may still arrive at a node after it stopped
	// calling itself ready.
	TakenOutUs int64
}

// Node is the address of a port of this process's machine.
func (b Boot) Node(port int) string { return net.JoinHostPort(b.IP, strconv.Itoa(port)) }

// ControlNode is where a control process on this machine listens for other
// processes.
func (b Boot) ControlNode() string { return b.Node(b.PortFirst) }

// PoolNode is where a pool node on this machine listens for other processes.
func (b Boot) PoolNode() string { return b.Node(b.PortFirst + 1) }

// Listen is where a process that others know by an address listens for them.
func (b Boot) Listen(node string) string { return cmp.Or(b.ListenNodes, node) }

// StateAfter is how far a process's port for operators who ask for its state
// lies behind the one for other processes.
const StateAfter = 2

// State is where the process that listens at a port for other processes tells
// its state; false where the range has no port for that.
func (b Boot) State(node int) (string, bool) {
	p := node + StateAfter
	return b.Node(p), p <= b.PortLast
}

// SeedVoters are the addresses at which the control processes named as seeds
// listen for other processes.
func (b Boot) SeedVoters() []string {
	vs := make([]string, 0, len(b.Seeds))
	for _, s := range b.Seeds {
		if h, _, err := net.SplitHostPort(s); err == nil {
			vs = append(vs, net.JoinHostPort(h, strconv.Itoa(b.PortFirst)))
		}
	}
	return vs
}
