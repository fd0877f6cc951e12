package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"stoneford/emulator/databasereplica"
	"stoneford/emulator/link"
)

// processFault injects a fault of one process.
type processFault func(ctx context.Context, f *Fleet, p *process, value int64) error

// processFaults maps actions to the faults of a single process.
var processFaults = map[string]processFault{
	"kill":         killProcess,
	"stop":         terminateProcess,
	"start":        func(_ context.Context, f *Fleet, p *process, _ int64) error { return f.start(p) },
	"restart":      restartProcess,
	"wipe":         wipeProcess,
	"upgrade":      replaceProgram(false),
	"downgrade":    replaceProgram(true),
	"pause":        freezeProcess,
	"resume":       resumeProcess,
	"slow-machine": slowMachine,
	"boot": func(_ context.Context, _ *Fleet, p *process, value int64) error {
		return rewriteBootFile(p.configFile, value)
	},
	"slow": databaseFault(func(v int64) databasereplica.Faults { return databasereplica.Faults{ServiceUs: serviceUs + v} }),
	"lag":  databaseFault(func(v int64) databasereplica.Faults { return databasereplica.Faults{ServiceUs: serviceUs, LagUs: v} }),
	"lose": databaseFault(func(v int64) databasereplica.Faults {
		return databasereplica.Faults{ServiceUs: serviceUs, LoseResponses: int(v)}
	}),
	"dark": databaseFault(func(int64) databasereplica.Faults {
		return databasereplica.Faults{ServiceUs: serviceUs, Unresponsive: true}
	}),
	"light": databaseFault(func(int64) databasereplica.Faults { return databasereplica.Faults{ServiceUs: serviceUs} }),
	"stop-receiving": databaseFault(func(int64) databasereplica.Faults {
		return databasereplica.Faults{ServiceUs: serviceUs, StopReceiving: true}
	}),
	"stop-applying": databaseFault(func(int64) databasereplica.Faults {
		return databasereplica.Faults{ServiceUs: serviceUs, StopApplying: true}
	}),
	"leave": setDraining(true),
	"stay":  setDraining(false),
	"cut":   partitionProcess,
	"mend":  repairProcess,
	"reset": resetConnections,
	"drop":  delayTraffic,
	"deaf":  func(_ context.Context, f *Fleet, p *process, _ int64) error { return f.partitionFromAll(p, true) },
	"mute":  func(_ context.Context, f *Fleet, p *process, _ int64) error { return f.partitionFromAll(p, false) },
}

// serviceUs is the service time of a run on an emulated database without faults.
const serviceUs = 1000

func killProcess(_ context.Context, _ *Fleet, p *process, _ int64) error {
	p.signal(syscall.SIGKILL, true)
	return nil
}

func terminateProcess(_ context.Context, _ *Fleet, p *process, _ int64) error {
	p.terminate()
	return nil
}

func restartProcess(_ context.Context, f *Fleet, p *process, _ int64) error {
	p.terminate()
	return f.start(p)
}

// wipeProcess kills a process, deletes its data and starts it again.
func wipeProcess(_ context.Context, f *Fleet, p *process, _ int64) error {
	p.signal(syscall.SIGKILL, true)
	if err := os.RemoveAll(p.folder); err != nil {
		return err
	}
	return f.start(p)
}

// replaceProgram restarts a process with the program of this revision, or of the earlier
// one if older is set.
func replaceProgram(older bool) processFault {
	return func(_ context.Context, f *Fleet, p *process, _ int64) error {
		if f.olderProgramsFolder == "" {
			return errors.New("upgrade and downgrade need the programs of an earlier revision (--older)")
		}
		p.terminate()
		p.olderPrograms = older
		return f.start(p)
	}
}

func freezeProcess(_ context.Context, _ *Fleet, p *process, _ int64) error {
	p.signal(syscall.SIGSTOP, false)
	return nil
}

func resumeProcess(_ context.Context, _ *Fleet, p *process, _ int64) error {
	p.throttle(0)
	p.signal(syscall.SIGCONT, false)
	return nil
}

// slowMachine lets a process run for only value milliseconds of each throttlePeriod.
func slowMachine(_ context.Context, _ *Fleet, p *process, value int64) error {
	p.throttle(time.Duration(value) * time.Millisecond)
	return nil
}

// databaseFault replaces the faults of an emulated database by those for the value.
func databaseFault(faults func(value int64) databasereplica.Faults) processFault {
	return func(ctx context.Context, _ *Fleet, p *process, value int64) error {
		return databasereplica.PostJSON(ctx, "http://"+p.httpAddress+"/faults", faults(value), nil)
	}
}

// setDraining makes an emulated database report that it drains, or that it does not.
func setDraining(draining bool) processFault {
	return func(ctx context.Context, _ *Fleet, p *process, _ int64) error {
		return databasereplica.PostJSON(ctx, "http://"+p.httpAddress+"/v1/leave", map[string]bool{"leaving": draining}, nil)
	}
}

// partitionProcess partitions both directions of the connections that others open to a
// process. The connections that the process itself opens stay as they are: they pass through
// the links of other processes.
func partitionProcess(_ context.Context, _ *Fleet, p *process, _ int64) error {
	for _, k := range p.links {
		k.SetPartition(link.Direction{}, true)
		k.SetPartition(link.Direction{Response: true}, true)
	}
	return nil
}

// repairProcess ends the partitions and delays on the links of a process. On the links of
// other processes it ends the partitions of the connections that the process opens.
func repairProcess(_ context.Context, f *Fleet, p *process, _ int64) error {
	for _, other := range f.order {
		for _, k := range f.processes[other].links {
			k.SetPartition(link.Direction{From: p.ip}, false)
			k.SetPartition(link.Direction{From: p.ip, Response: true}, false)
		}
	}
	for _, k := range p.links {
		k.Repair()
		k.SetLoss(0)
	}
	return nil
}

func resetConnections(_ context.Context, _ *Fleet, p *process, _ int64) error {
	for _, k := range p.links {
		k.Reset()
	}
	return nil
}

// delayTraffic delays value percent of the chunks of bytes, in both directions, on the links
// of a process.
func delayTraffic(_ context.Context, _ *Fleet, p *process, value int64) error {
	for _, k := range p.links {
		k.SetLoss(float64(value) / 100)
	}
	return nil
}

// partitionFromAll partitions the traffic from all other processes to a process if incoming
// is set, and otherwise the traffic from the process to all others.
func (f *Fleet) partitionFromAll(p *process, incoming bool) error {
	for _, other := range f.order {
		if other == p.name {
			continue
		}
		from, to := p.name, other
		if incoming {
			from, to = other, p.name
		}
		if err := f.setPartition(from, to, true); err != nil {
			return err
		}
	}
	return nil
}

// setPartition partitions the traffic from one process to another, or ends that partition.
// On the receiver's links it acts on the bytes on connections from the sender, and on the
// sender's links on the responses on connections from the receiver.
func (f *Fleet) setPartition(from, to string, partitioned bool) error {
	a, b := f.processes[from], f.processes[to]
	if a == nil || b == nil {
		return fmt.Errorf("partition from %q to %q: no such process", from, to)
	}
	for _, k := range b.links {
		k.SetPartition(link.Direction{From: a.ip}, partitioned)
	}
	for _, k := range a.links {
		k.SetPartition(link.Direction{From: b.ip, Response: true}, partitioned)
	}
	return nil
}

// rewriteBootFile changes a configuration file in place, as an operator's editor may.
// Variant 0 is a valid change, 1 a half-written file, 2 an invalid value, and any other
// restores the original, which the first call saves beside the file.
func rewriteBootFile(file string, variant int64) error {
	original, err := os.ReadFile(file + ".whole")
	if errors.Is(err, os.ErrNotExist) {
		if original, err = os.ReadFile(file); err == nil {
			err = os.WriteFile(file+".whole", original, 0o644)
		}
	}
	if err != nil {
		return err
	}
	fields := map[string]any{}
	if err := json.Unmarshal(original, &fields); err != nil {
		return err
	}
	text := original
	switch variant {
	case 0:
		fields["log_level"] = "debug"
		text, err = json.Marshal(fields)
	case 1:
		text = original[:len(original)/2]
	case 2:
		fields["log_level"] = "loud"
		text, err = json.Marshal(fields)
	}
	if err != nil {
		return err
	}
	return os.WriteFile(file, text, 0o644)
}
