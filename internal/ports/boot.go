package ports

import (
	"cmp"
	"net"
	"strconv"
)

// ProcessConfig is what a process is told when it starts, and again when that changes.
type ProcessConfig struct {
	Name   string
	Role   string
	Zone   string
	Region string
	IP     string
	Zones  map[string]string // the region of each zone known

	ServesCallers    bool
	ServesControl    bool
	CallerAddress    string // callers' address, where it serves callers
	ReadinessAddress string // address at which readiness is asked, there too
	ControlAddress   string // address for databases and operators, where it serves control

	// The ports for traffic between processes, the same on all machines: control
	// processes listen on the first, pool nodes on the one after it. Each tells its
	// state to operators StatePortOffset ports further on.
	PortFirst, PortLast int
	// ListenForNodes is where the process listens for other processes where that is not
	// the address that these know: something in between passes it on.
	ListenForNodes string

	Seeds                  []string // control addresses of some control processes
	Bootstrap              bool     // the whole system starts for the first time
	QuorumMember           bool     // counts for what can be lost
	DataFolder             string   // empty where there is no disk
	ProviderAddress        string   // address of the platform's own calls, empty where there are none
	ProviderCallsPerSecond float64  // such calls a second, for all processes together, 0 if unknown

	AnnouncementIntervalUs int64 // how often databases announce themselves

	MemoryMB        int64
	DiskMB          int64
	CPUQuota        float64
	FileDescriptors int64
	Tolerance       Tolerance
	Bounds          TimeBounds
}

// Tolerance is what may be lost at the same time.
type Tolerance struct{ Machines, Zones, Regions int }

// TimeBounds are the times the system is held to; 0 where none is named.
type TimeBounds struct {
	SeedLagUs       int64 // how far lists of control processes lag
	ReuseAfterUs    int64 // an address may be another's after this
	ContactUs       int64
	AckUs           int64
	CatchUpUs       int64
	GracefulDrainUs int64
	GraceUs         int64 // from the order to stop until the kill
	LossSlackUs     int64
	ApplyUs         int64
	RevertUs        int64
	StretchUs       int64
	RecoverUs       int64
	ThawUs          int64
	FenceChecked    bool
	// RemovalLagUs is how long callers may still arrive at a node after it stopped
	// calling itself ready.
	RemovalLagUs int64
}

// NodeAddress is the address of a port of this process's machine.
func (b ProcessConfig) NodeAddress(port int) string {
	return net.JoinHostPort(b.IP, strconv.Itoa(port))
}

// ControlNodeAddress is where a control process on this machine listens for other
// processes.
func (b ProcessConfig) ControlNodeAddress() string { return b.NodeAddress(b.PortFirst) }

// PoolNodeAddress is where a pool node on this machine listens for other processes.
func (b ProcessConfig) PoolNodeAddress() string { return b.NodeAddress(b.PortFirst + 1) }

// ListenAddress is where a process that others know by an address listens for them.
func (b ProcessConfig) ListenAddress(node string) string { return cmp.Or(b.ListenForNodes, node) }

// StatePortOffset is how far a process's port for operators who ask for its state
// lies behind the one for other processes.
const StatePortOffset = 2

// StateAddress is where the process that listens at a port for other processes tells
// its state; false where the range has no port for that.
func (b ProcessConfig) StateAddress(node int) (string, bool) {
	p := node + StatePortOffset
	return b.NodeAddress(p), p <= b.PortLast
}

// SeedVoterAddresses are the addresses at which the control processes named as seeds
// listen for other processes.
func (b ProcessConfig) SeedVoterAddresses() []string {
	addresses := make([]string, 0, len(b.Seeds))
	for _, s := range b.Seeds {
		if h, _, err := net.SplitHostPort(s); err == nil {
			addresses = append(addresses, net.JoinHostPort(h, strconv.Itoa(b.PortFirst)))
		}
	}
	return addresses
}
