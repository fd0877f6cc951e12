// Package platform is the users' platform: its names, formats and calls, put
// into the product's own words (package ports). Nothing in it decides.
package platform

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"stoneford/internal/ports"
)

const (
	settingsVariable = "STONEFORD_SETTINGS"
	watchInterval    = 2 * time.Second
	// removalDelay: readiness is asked once a second and two misses take a node out.
	removalDelay = 2200 * time.Millisecond
)

// SettingsPath is where the platform put the settings, "" if this process does
// not run on it.
func SettingsPath() string { return os.Getenv(settingsVariable) }

// fields are the settings by name, and what is wrong with them.
type fields struct {
	values map[string]string
	errs   []error
}

func (f *fields) reject(name, problem string) {
	f.errs = append(f.errs, fmt.Errorf("%s: %s", name, problem))
}

// text is a field; needed ones are missed.
func (f *fields) text(name string, needed bool) string {
	v := f.values[name]
	if v == "" && needed {
		f.reject(name, "is missing")
	}
	return v
}

func (f *fields) list(name string, needed bool) (vs []string) {
	for _, v := range strings.Split(f.text(name, needed), ",") {
		if v = strings.TrimSpace(v); v != "" {
			vs = append(vs, v)
		}
	}
	return vs
}

func (f *fields) number(name string) float64 {
	v := f.values[name]
	if v == "" {
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || n < 0 || n > 1e12 {
		f.reject(name, fmt.Sprintf("%q is not a number that can be used", v))
		return 0
	}
	return n
}

func (f *fields) boolean(name string) bool {
	switch v := f.values[name]; v {
	case "true":
		return true
	case "", "false":
	default:
		f.reject(name, fmt.Sprintf("%q is neither true nor false", v))
	}
	return false
}

func (f *fields) microseconds(name string, unit time.Duration) int64 {
	return int64(math.Round(f.number(name) * float64(unit/time.Microsecond)))
}

// address is a field that holds an IP and a port.
func (f *fields) address(name string, needed bool) string {
	v := f.text(name, needed)
	if v != "" {
		f.checkAddress(name, v)
	}
	return v
}

func (f *fields) checkAddress(name, v string) {
	h, p, err := net.SplitHostPort(v)
	n, perr := strconv.Atoi(p)
	if err != nil || net.ParseIP(h) == nil || perr != nil || n < 1 || n > 65535 {
		f.reject(name, fmt.Sprintf("%q is not an address", v))
	}
}

// ReadConfig reads the settings file. Fields not known are left alone; all that is
// wrong is named.
func ReadConfig(path string) (ports.ProcessConfig, []error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return ports.ProcessConfig{}, []error{err}
	}
	return parseConfig(text)
}

func parseConfig(text []byte) (ports.ProcessConfig, []error) {
	f := &fields{values: map[string]string{}}
	for i, l := range strings.Split(string(text), "\n") {
		l = strings.TrimSpace(l)
		if l == "" || l[0] == '#' {
			continue
		}
		k, v, ok := strings.Cut(l, "=")
		if !ok {
			f.reject(fmt.Sprintf("line %d", i+1), "is not of the form name=value")
			continue
		}
		f.values[strings.TrimSpace(k)] = strings.TrimSpace(v)
	}
	config := ports.ProcessConfig{Zones: map[string]string{}}
	config.Name, config.Role = f.text("NodeName", true), f.text("Role", false)
	config.Zone, config.Region = f.text("Zone", true), f.text("Region", false)
	config.IP = f.text("Ip", true)
	if config.IP != "" && net.ParseIP(config.IP) == nil {
		f.reject("Ip", fmt.Sprintf("%q is not an IP", config.IP))
	}
	for k, v := range f.values {
		if z, ok := strings.CutPrefix(k, "Zones."); ok {
			config.Zones[z] = v
		}
	}
	serves := f.list("Serves", false)
	config.ServesCallers, config.ServesControl = slices.Contains(serves, "edge"), slices.Contains(serves, "controller")
	config.CallerAddress = f.address("Listen.Front", config.ServesCallers)
	config.ReadinessAddress = f.address("Listen.ReadyProbe", config.ServesCallers)
	config.ControlAddress = f.address("Listen.Control", config.ServesControl)
	config.ListenForNodes = f.address("Listen.Nodes", false)
	if r := f.list("PortRange", true); len(r) > 0 {
		var e1, e2 error
		config.PortFirst, e1 = strconv.Atoi(r[0])
		config.PortLast, e2 = strconv.Atoi(r[len(r)-1])
		if len(r) != 2 || e1 != nil || e2 != nil || config.PortFirst < 1 || config.PortLast > 65535 || config.PortLast <= config.PortFirst {
			f.reject("PortRange", fmt.Sprintf("%q is not a range of two ports or more", f.values["PortRange"]))
		}
	}
	config.Seeds = f.list("Seeds", true)
	for _, s := range config.Seeds {
		f.checkAddress("Seeds", s)
	}
	config.Bootstrap, config.QuorumMember = f.boolean("Bootstrap"), f.boolean("QuorumMember")
	config.DataFolder = f.text("DataDir", false)
	config.ProviderAddress, config.ProviderCallsPerSecond = f.address("Provider.Address", false), f.number("Provider.DutyPerS")
	config.AnnouncementIntervalUs = f.microseconds("BeatMs", time.Millisecond)
	config.MemoryMB, config.DiskMB = int64(f.number("Limits.MemoryMb")), int64(f.number("Limits.DiskMb"))
	config.CPUQuota, config.FileDescriptors = f.number("Limits.CpuShare"), int64(f.number("Limits.FdLimit"))
	config.Tolerance = ports.Tolerance{Machines: int(f.number("Tolerance.Machines")), Zones: int(f.number("Tolerance.Zones")), Regions: int(f.number("Tolerance.Regions"))}
	config.Bounds = ports.TimeBounds{
		SeedLagUs: f.microseconds("Bounds.SeedLagS", time.Second), ReuseAfterUs: f.microseconds("Bounds.ReuseAfterS", time.Second),
		ContactUs: f.microseconds("Bounds.ContactMs", time.Millisecond), AckUs: f.microseconds("Bounds.AckMs", time.Millisecond),
		CatchUpUs: f.microseconds("Bounds.CatchUpS", time.Second), GracefulDrainUs: f.microseconds("Bounds.DrainMs", time.Millisecond),
		GraceUs: f.microseconds("Bounds.GraceS", time.Second), LossSlackUs: f.microseconds("Bounds.LossSlackMs", time.Millisecond),
		ApplyUs: f.microseconds("Bounds.ApplyMs", time.Millisecond), RevertUs: f.microseconds("Bounds.RevertSlackMs", time.Millisecond),
		StretchUs: f.microseconds("Bounds.StretchMs", time.Millisecond), RecoverUs: f.microseconds("Bounds.RecoverS", time.Second),
		ThawUs: f.microseconds("Bounds.ThawMs", time.Millisecond), FenceChecked: f.boolean("Bounds.FenceChecked"),
		RemovalLagUs: removalDelay.Microseconds(),
	}
	return config, f.errs
}

// ConfigWatcher notices that the settings file has changed.
type ConfigWatcher struct {
	path    string
	current []byte
	hup     chan os.Signal
}

// NewConfigWatcher begins with the file as it is now. From here on SIGHUP no longer
// ends the process.
func NewConfigWatcher(path string) *ConfigWatcher {
	watcher := &ConfigWatcher{path: path, hup: make(chan os.Signal, 1)}
	signal.Notify(watcher.hup, syscall.SIGHUP)
	watcher.current, _ = os.ReadFile(path)
	return watcher
}

// Run calls changed with each new reading until the context ends: at a signal,
// and without one by the file's text, since times and sizes can stay the same
// over a change.
func (w *ConfigWatcher) Run(ctx context.Context, changed func(ports.ProcessConfig, []error)) {
	defer signal.Stop(w.hup)
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.hup:
		case <-t.C:
		}
		w.reload(changed)
	}
}

func (w *ConfigWatcher) reload(changed func(ports.ProcessConfig, []error)) {
	text, err := os.ReadFile(w.path)
	if err != nil || bytes.Equal(text, w.current) {
		return
	}
	w.current = text
	changed(parseConfig(text))
}
