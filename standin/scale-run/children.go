package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/rpc"
	"os"
	"os/exec"
	"runtime/debug"
	"runtime/pprof"
	"time"

	"github.com/jonboulle/clockwork"

	"stoneford/platform"
	"stoneford/ports"
	"stoneford/sessionpool"
	"stoneford/sessiontable"
	"stoneford/standin/scale-run/scale"
)

const (
	callTime = 5 * time.Second
	// What a process may hold: one that goes over it ends itself, so that a run
	// leaves the machine its memory. With 3 control processes that is 11 GB.
	controlMost = 1 << 30
	hollowMost  = 8 << 30
	overMemory  = 3 // its exit code
	watchEvery  = 250 * time.Millisecond
)

// watchMemory ends the process once it holds more than it may.
func watchMemory(ctx context.Context, most int64) {
	t := time.NewTicker(watchEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if n, err := scale.Resident(); err == nil && n > most {
				os.Exit(overMemory)
			}
		}
	}
}

// pipe is a child's standard input and output, over which it is called.
type pipe struct {
	io.Reader
	io.WriteCloser
}

// Report is what a child used, and sent and took.
type Report struct {
	scale.Usage
	In, Out map[string]scale.Flow
}

// started is a process that the run started.
type started struct {
	cmd *exec.Cmd
	rpc *rpc.Client
}

func start(ctx context.Context, role string, index, count, of int, dir, dbs string) (*started, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, self, "-role", role, "-index", fmt.Sprint(index), "-count", fmt.Sprint(count), "-of", fmt.Sprint(of), "-dir", dir, "-databases", dbs)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return &started{cmd: cmd, rpc: rpc.NewClient(pipe{out, in})}, nil
}

// call calls a method of the child's one service.
func call[T any](s *started, method string, args any) (T, error) {
	var v T
	err := s.rpc.Call("Service."+method, args, &v)
	return v, err
}

// kill ends the process without a word.
func (s *started) kill() {
	if s == nil {
		return
	}
	s.cmd.Process.Kill()
	s.rpc.Close()
	s.cmd.Wait()
}

func child(ctx context.Context, o options) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	most := int64(controlMost)
	if o.role == "hollow" {
		most = hollowMost
	}
	debug.SetMemoryLimit(most * 3 / 4)
	go watchMemory(ctx, most)
	var service any
	failed := make(chan error, 1)
	switch o.role {
	case "control":
		dbs, err := rpc.Dial("tcp", o.dbs)
		if err != nil {
			return err
		}
		defer dbs.Close()
		c := scale.NewControl(scale.Boot(fmt.Sprint("control-", o.index+1), scale.ControlIP(o.index), o.index, o.of, o.dir), remote{dbs})
		up := make(chan struct{})
		go func() { failed <- c.Run(ctx, up) }()
		select {
		case <-up:
		case err := <-failed:
			return err
		}
		service = &controlService{c: c}
	case "hollow":
		service = &hollowService{h: scale.NewHollow(o.index, o.count, o.of)}
	case "pool":
		b := scale.Boot(fmt.Sprint("pool-", o.index), scale.NodeIP(o.index), o.index, o.of, "")
		d := platform.NewDatabases(b.IP, b.Name)
		p := sessionpool.NewProcess(b, clockwork.NewRealClock(), sessionpool.Edges{
			Callers: platform.Callers{Address: b.Front, Most: int(b.FDs)}, Probe: platform.Probe{Address: b.Ready}, Dialer: d,
		}, sessiontable.Options{BeginApart: true})
		go func() { failed <- p.Run(ctx) }()
		service = &poolService{p: p, d: d, databases: o.dbs}
	default:
		return fmt.Errorf("no role %q", o.role)
	}
	s := rpc.NewServer()
	if err := s.RegisterName("Service", service); err != nil {
		return err
	}
	served := make(chan struct{})
	go func() { defer close(served); s.ServeConn(pipe{os.Stdin, os.Stdout}) }()
	select {
	case err := <-failed:
		return err
	case <-served: // whoever started it is gone
	case <-ctx.Done():
	}
	return nil
}

func use(collect bool, t *scale.Traffic, r *Report) (err error) {
	r.Usage, err = scale.ReadUsage(collect)
	if t != nil {
		r.In, r.Out = t.Counts()
	}
	return err
}

type controlService struct {
	c    *scale.Control
	file *os.File
}

func (s *controlService) Announce(is []ports.Instance, n *int) error {
	s.c.Announce(is)
	*n = len(is)
	return nil
}

func (s *controlService) Change(c ports.TableChange, r *ports.ChangeResult) (err error) {
	ctx, stop := context.WithTimeout(context.Background(), callTime)
	defer stop()
	*r, err = s.c.Change(ctx, c)
	return err
}

func (s *controlService) Fetch(_ int, rev *uint64) error {
	ctx, stop := context.WithTimeout(context.Background(), callTime)
	defer stop()
	r, ok := s.c.Fetch(ctx)
	if !ok {
		return errors.New("no majority")
	}
	*rev = r
	return nil
}

func (s *controlService) Known(shape scale.Shape, k *scale.Known) (err error) {
	ctx, stop := context.WithTimeout(context.Background(), callTime)
	defer stop()
	*k, err = s.c.Known(ctx, shape)
	return err
}

func (s *controlService) Use(collect bool, r *Report) error { return use(collect, &s.c.Traffic, r) }

// Profile begins a CPU profile, or ends it where path is empty.
func (s *controlService) Profile(path string, _ *int) (err error) {
	if path == "" {
		pprof.StopCPUProfile()
		return s.file.Close()
	}
	if s.file, err = os.Create(path); err != nil {
		return err
	}
	return pprof.StartCPUProfile(s.file)
}

type hollowService struct{ h *scale.Hollow }

// StartArgs are the first node to start, and the one behind the last.
type StartArgs struct{ From, To int }

func (s *hollowService) Start(a StartArgs, _ *int) error      { return s.h.Start(a.From, a.To) }
func (s *hollowService) Stop(_ int, _ *int) error             { s.h.Stop(); return nil }
func (s *hollowService) Use(collect bool, r *Report) error    { return use(collect, &s.h.Traffic, r) }
func (s *hollowService) Ready(_ int, m *scale.Moments) error  { *m = s.h.Ready(); return nil }
func (s *hollowService) Sealed(_ int, m *scale.Moments) error { *m = s.h.Sealed(); return nil }
func (s *hollowService) Opened(_ int, m *scale.Moments) error { *m = s.h.Opened(); return nil }
func (s *hollowService) InForce(rev uint64, m *scale.Moments) error {
	*m = s.h.InForce(rev)
	return nil
}

// HeardArgs names a control process and the moment after which it counts.
type HeardArgs struct {
	Control int
	After   int64
}

func (s *hollowService) Heard(a HeardArgs, m *scale.Moments) error {
	*m = s.h.Heard(a.Control, a.After)
	return nil
}

// WatchArgs names a group and the term to watch it for.
type WatchArgs struct {
	Group string
	Term  uint64
}

func (s *hollowService) Watch(a WatchArgs, _ *int) error { s.h.Watch(a.Group, a.Term); return nil }

type poolService struct {
	p         *sessionpool.Process
	d         *platform.Databases
	databases string
	kept      []sessionpool.Database
}

func (s *poolService) Use(collect bool, r *Report) error { return use(collect, nil, r) }
func (s *poolService) Ready(_ int, ok *bool) error       { *ok = s.p.Ready(); return nil }

// Dial opens connections to a database and keeps a reader on each.
func (s *poolService) Dial(n int, _ *int) error {
	for range n {
		ctx, stop := context.WithTimeout(context.Background(), callTime)
		c, _, _, err := s.d.Dial(ctx, s.databases, scale.GroupName(0), "")
		stop()
		if err != nil {
			return err
		}
		s.kept = append(s.kept, c)
		go c.Read(nil)
	}
	return nil
}

// remote asks the run's hollow databases.
type remote struct{ c *rpc.Client }

// DoArgs is one order to a hollow database.
type DoArgs struct {
	ID   string
	Kind ports.Kind
	Term uint64
}

// DoReply is what a hollow database says to it.
type DoReply struct {
	Status ports.DatabaseStatus
	Code   ports.Code
}

// PromoteArgs names the database that a group is to be led by.
type PromoteArgs struct{ Group, ID string }

func (r remote) Do(id string, k ports.Kind, term uint64) (ports.DatabaseStatus, ports.Code, error) {
	var v DoReply
	err := r.c.Call("Databases.Do", DoArgs{id, k, term}, &v)
	return v.Status, v.Code, err
}

func (r remote) Promote(group, id string) (status int, err error) {
	err = r.c.Call("Databases.Promote", PromoteArgs{group, id}, &status)
	return status, err
}

type databasesService struct{ d *scale.Databases }

func (s databasesService) Do(a DoArgs, r *DoReply) error {
	r.Status, r.Code = s.d.Do(a.ID, a.Kind, a.Term)
	return nil
}

func (s databasesService) Promote(a PromoteArgs, status *int) error {
	*status = s.d.Promote(a.Group, a.ID)
	return nil
}
