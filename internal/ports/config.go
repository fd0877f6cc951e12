package ports

import (
	"cmp"
	"net"
	"strconv"
)

// ProcessConfig is the configuration of one process. A process gets it at its start
// and again whenever it changes.
type ProcessConfig struct {
	Name   string
	Role   string
	Zone   string
	Region string
	IP     string
	Zones  map[string]string // region of each known zone, by zone

	ServesCallers    bool
	ServesControl    bool
	CallerAddress    string // listens for callers, if ServesCallers
	ReadinessAddress string // listens for readiness probes, if ServesCallers
	ControlAddress   string // listens for databases and operators, if ServesControl

	// PortFirst and PortLast bound the port range for traffic between processes, which
	// is the same on all machines. Control processes listen on PortFirst and pool nodes
	// on PortFirst+1. Each process serves its state to operators on the port that is
	// StatePortOffset higher than its own.
	PortFirst, PortLast int
	// NodeListenAddress is the address on which the process listens for other processes.
	// It is set only if a proxy makes it differ from the address they connect to.
	NodeListenAddress string

	Seeds        []string // control addresses of some control processes
	Bootstrap    bool     // the system starts for the first time
	QuorumMember bool     // the process counts in Tolerance
	DataFolder   string   // empty if the process has no disk

	ProviderAddress        string  // address of the platform's own API, empty if it has none
	ProviderCallsPerSecond float64 // rate limit of that API for all processes together, 0 if unknown

	AnnouncementIntervalUs int64 // time between two announcements of a database

	MemoryMB        int64
	DiskMB          int64
	CPUQuota        float64
	FileDescriptors int64
	Tolerance       Tolerance
	Bounds          TimeBounds
}

// Tolerance is the number of machines, zones and regions that may fail at the same
// time.
type Tolerance struct{ Machines, Zones, Regions int }

// TimeBounds are the time limits that the platform sets for the system (settings Bounds.*
// in docs/platform.md; no setting gives RemovalLagUs). A field is 0 if the platform sets
// no such limit. Only the fields with a comment have an effect: the program's own timeouts
// are within the other limits on all known sites.
type TimeBounds struct {
	SeedLagUs    int64
	ReuseAfterUs int64
	ContactUs    int64
	AckUs        int64
	CatchUpUs    int64
	// GracefulDrainUs bounds the time in which a draining node ends its callers'
	// sessions.
	GracefulDrainUs int64
	// GraceUs is the time from the request to stop until the process is killed.
	GraceUs     int64
	LossSlackUs int64
	// ApplyUs bounds the time until a change of the routing table is in force.
	ApplyUs      int64
	RevertUs     int64
	StretchUs    int64
	RecoverUs    int64
	ThawUs       int64
	FenceChecked bool
	// RemovalLagUs bounds the time during which callers may still connect to a node
	// after it stopped reporting itself as ready.
	RemovalLagUs int64
}

// NodeAddress returns the address of a port on this process's machine.
func (c ProcessConfig) NodeAddress(port int) string {
	return net.JoinHostPort(c.IP, strconv.Itoa(port))
}

// ControlNodeAddress returns the address on which a control process on this machine
// listens for other processes.
func (c ProcessConfig) ControlNodeAddress() string { return c.NodeAddress(c.PortFirst) }

// PoolNodeAddress returns the address on which a pool node on this machine listens for
// other processes.
func (c ProcessConfig) PoolNodeAddress() string { return c.NodeAddress(c.PortFirst + 1) }

// ListenAddress returns the address on which the process listens, given the address
// that other processes connect to.
func (c ProcessConfig) ListenAddress(connectAddress string) string {
	return cmp.Or(c.NodeListenAddress, connectAddress)
}

// StatePortOffset is the distance from a process's port for other processes to the
// port on which it serves its state to operators.
const StatePortOffset = 2

// StateAddress returns the address on which the process that listens on nodePort for
// other processes serves its state; ok is false if the port range is too short for it.
func (c ProcessConfig) StateAddress(nodePort int) (address string, ok bool) {
	port := nodePort + StatePortOffset
	return c.NodeAddress(port), port <= c.PortLast
}

// SeedVoterAddresses returns the addresses on which the control processes named as
// seeds listen for other processes. Seeds that are not valid addresses are skipped.
func (c ProcessConfig) SeedVoterAddresses() []string {
	addresses := make([]string, 0, len(c.Seeds))
	for _, seed := range c.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(c.PortFirst)))
		}
	}
	return addresses
}
