package platform

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"stoneford/internal/ports"
)

const (
	settingsVariable = "STONEFORD_SETTINGS"
	// removalDelay bounds the time during which a node that is no longer ready still receives
	// callers: the platform checks readiness once a second, and removes a node after two
	// failed checks.
	removalDelay = 2200 * time.Millisecond
)

// SettingsPath returns the path of the settings file from the environment, or "" if this
// process does not run on the platform.
func SettingsPath() string { return os.Getenv(settingsVariable) }

// ReadConfig reads the settings file. It ignores unknown fields, and returns one error for
// each invalid field.
func ReadConfig(path string) (ports.ProcessConfig, []error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return ports.ProcessConfig{}, []error{err}
	}
	return parseConfig(text)
}

// parseConfig parses the content of a settings file.
func parseConfig(text []byte) (ports.ProcessConfig, []error) {
	f := parseFields(text)
	config := f.config()
	return config, f.errs
}

// config converts the fields to a configuration, and records an error for each invalid one.
func (f *fields) config() ports.ProcessConfig {
	config := ports.ProcessConfig{Zones: map[string]string{}}
	config.Name, config.Role = f.text("NodeName", true), f.text("Role", false)
	config.Zone, config.Region = f.text("Zone", true), f.text("Region", false)
	config.IP = f.text("Ip", true)
	if config.IP != "" && net.ParseIP(config.IP) == nil {
		f.reject("Ip", fmt.Sprintf("%q is not an IP address", config.IP))
	}
	for name, region := range f.values {
		if zone, ok := strings.CutPrefix(name, "Zones."); ok {
			config.Zones[zone] = region
		}
	}
	serves := f.list("Serves", false)
	config.ServesCallers, config.ServesControl = slices.Contains(serves, "edge"), slices.Contains(serves, "controller")
	config.CallerAddress = f.address("Listen.Front", config.ServesCallers)
	config.ReadinessAddress = f.address("Listen.ReadyProbe", config.ServesCallers)
	config.ControlAddress = f.address("Listen.Control", config.ServesControl)
	config.NodeListenAddress = f.address("Listen.Nodes", false)
	config.PortFirst, config.PortLast = f.portRange()
	config.Seeds = f.list("Seeds", true)
	for _, seed := range config.Seeds {
		f.checkAddress("Seeds", seed)
	}
	config.Bootstrap, config.QuorumMember = f.boolean("Bootstrap"), f.boolean("QuorumMember")
	config.DataFolder = f.text("DataDir", false)
	config.ProviderAddress, config.ProviderCallsPerSecond = f.address("Provider.Address", false), f.number("Provider.DutyPerS")
	config.AnnouncementIntervalUs = f.microseconds("BeatMs", time.Millisecond)
	config.MemoryMB, config.DiskMB = int64(f.number("Limits.MemoryMb")), int64(f.number("Limits.DiskMb"))
	config.CPUQuota, config.FileDescriptors = f.number("Limits.CpuShare"), int64(f.number("Limits.FdLimit"))
	config.Tolerance = ports.Tolerance{Machines: int(f.number("Tolerance.Machines")), Zones: int(f.number("Tolerance.Zones")), Regions: int(f.number("Tolerance.Regions"))}
	config.Bounds = f.bounds()
	return config
}

// portRange returns the first and last port that the node may use.
func (f *fields) portRange() (first, last int) {
	const name = "PortRange"
	parts := f.list(name, true)
	if len(parts) == 0 {
		return 0, 0
	}
	first, err1 := strconv.Atoi(parts[0])
	last, err2 := strconv.Atoi(parts[len(parts)-1])
	if len(parts) != 2 || err1 != nil || err2 != nil || first < 1 || last > 65535 || last <= first {
		f.reject(name, fmt.Sprintf("%q is not a port range FIRST,LAST with 1 <= FIRST < LAST <= 65535", f.values[name]))
	}
	return first, last
}

// bounds returns the time limits within which the users expect the system to act.
func (f *fields) bounds() ports.TimeBounds {
	return ports.TimeBounds{
		SeedLagUs: f.microseconds("Bounds.SeedLagS", time.Second), ReuseAfterUs: f.microseconds("Bounds.ReuseAfterS", time.Second),
		ContactUs: f.microseconds("Bounds.ContactMs", time.Millisecond), AckUs: f.microseconds("Bounds.AckMs", time.Millisecond),
		CatchUpUs: f.microseconds("Bounds.CatchUpS", time.Second), GracefulDrainUs: f.microseconds("Bounds.DrainMs", time.Millisecond),
		GraceUs: f.microseconds("Bounds.GraceS", time.Second), LossSlackUs: f.microseconds("Bounds.LossSlackMs", time.Millisecond),
		ApplyUs: f.microseconds("Bounds.ApplyMs", time.Millisecond), RevertUs: f.microseconds("Bounds.RevertSlackMs", time.Millisecond),
		StretchUs: f.microseconds("Bounds.StretchMs", time.Millisecond), RecoverUs: f.microseconds("Bounds.RecoverS", time.Second),
		ThawUs: f.microseconds("Bounds.ThawMs", time.Millisecond), FenceChecked: f.boolean("Bounds.FenceChecked"),
		RemovalLagUs: removalDelay.Microseconds(),
	}
}
