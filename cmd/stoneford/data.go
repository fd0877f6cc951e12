package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"stoneford/internal/wal"
	"stoneford/schema"
)

// dataCommand returns the command that reads the folder of a control process. The process
// need not run.
func dataCommand() *cli.Command {
	return &cli.Command{
		Name:  "data",
		Usage: "look at the folder of a control process, or copy its log",
		Commands: []*cli.Command{
			{
				Name:      "inspect",
				Usage:     "what the log holds; the process may run meanwhile",
				ArgsUsage: "FOLDER (the control process's own, or the voter folder in it)",
				Action:    inspect,
			},
			{
				Name:        "copy",
				Usage:       "copy the log into a folder that holds none, and read it back",
				ArgsUsage:   "FOLDER TO",
				Description: "A voter never goes on from an older copy of its log: it would vote against what it said later.\nWhere its disk is lost it starts with an empty folder and joins anew.",
				Action:      copyLog,
			},
		},
	}
}

// dataReport is the output of the inspect command.
type dataReport struct {
	Folder     string         `json:"folder"`
	Format     int            `json:"format"`
	File       string         `json:"file"`
	Bytes      int            `json:"bytes"`
	Frames     int            `json:"frames"`
	Entries    int            `json:"entries"`
	TornBytes  int            `json:"torn_bytes"`
	Leftover   []string       `json:"left_over,omitempty"`
	DiskID     string         `json:"life"`       // ID of the disk in hexadecimal
	Membership uint64         `json:"membership"` // number of the newest membership known to be committed
	Active     uint64         `json:"active"`     // number of the membership under which this disk votes or last voted
	Voters     []dataVoter    `json:"voters"`
	Registers  []dataRegister `json:"registers"`
}

// dataVoter describes a voter of the newest membership.
type dataVoter struct {
	Address string `json:"address"`
	DiskID  string `json:"life"`
}

// dataRegister describes a register for which the voter has accepted a value.
type dataRegister struct {
	Key      string   `json:"key"`
	Revision uint64   `json:"revision"` // accepted by this voter, not necessarily committed
	Bytes    int      `json:"bytes"`
	Changes  []string `json:"changes,omitempty"`
}

// voterFolder returns the folder of the log: the subfolder "voter", in which a control
// process stores its log, if the given folder has one, otherwise the given folder.
func voterFolder(arg string) (string, error) {
	if arg == "" {
		return "", errors.New("no folder is named")
	}
	if _, err := os.Stat(arg); err != nil {
		return "", err
	}
	if subfolder := filepath.Join(arg, "voter"); isFolder(subfolder) {
		return subfolder, nil
	}
	return arg, nil
}

func isFolder(p string) bool {
	s, err := os.Stat(p)
	return err == nil && s.IsDir()
}

// readData inspects the log in a folder. If it returns an error, the report holds
// whatever could be read.
func readData(arg string) (dataReport, error) {
	folder, err := voterFolder(arg)
	if err != nil {
		return dataReport{}, err
	}
	r, err := wal.Inspect(folder)
	if err == nil && r.File == "" {
		err = fmt.Errorf("%s holds no log", folder)
	}
	return dataReport{
		Folder:     folder,
		Format:     r.Format,
		File:       r.File,
		Bytes:      r.Bytes,
		Frames:     r.Frames,
		Entries:    r.Entries,
		TornBytes:  r.TornBytes,
		Leftover:   r.Leftovers,
		DiskID:     formatDiskID(r.DiskID),
		Membership: r.Membership.GetNumber(),
		Active:     r.ActiveMembership,
		Voters: lo.Map(r.Membership.GetVoters(), func(v *schema.Voter, _ int) dataVoter {
			return dataVoter{v.Address, formatDiskID(v.DiskId)}
		}),
		Registers: lo.Map(r.Registers, func(c *schema.RegisterState, _ int) dataRegister {
			return dataRegister{c.Key, c.Value.GetRevision(), len(c.Value.GetData()), c.Value.GetChangeIds()}
		}),
	}, err
}

// isVoter reports whether the voter of this disk votes under the newest membership.
func (d dataReport) isVoter() bool { return d.Active > 0 && d.Active == d.Membership }

func formatDiskID(diskID uint64) string { return fmt.Sprintf("%016x", diskID) }

// write writes the report as tables.
func (d dataReport) write(out io.Writer) error {
	w := newTable(out)
	fmt.Fprintf(w, "%s: format %d, %d bytes, %d frames, %d entries\n", filepath.Join(d.Folder, d.File), d.Format, d.Bytes, d.Frames, d.Entries)
	if d.TornBytes > 0 {
		fmt.Fprintf(w, "%d bytes at its end were never synced; the next start drops them\n", d.TornBytes)
	}
	if len(d.Leftover) > 0 {
		fmt.Fprintf(w, "the next start removes %s\n", strings.Join(d.Leftover, ", "))
	}
	fmt.Fprintf(w, "disk %s, membership %d, %s\n\nVOTER\tDISK\n", d.DiskID, d.Membership, lo.Ternary(d.isVoter(), "it votes", "it does not vote"))
	for _, v := range d.Voters {
		fmt.Fprintf(w, "%s\t%s\n", v.Address, v.DiskID)
	}
	fmt.Fprintln(w, "\nREGISTER\tREVISION ACCEPTED\tBYTES\tCHANGED BY")
	for _, r := range d.Registers {
		by := "-"
		if len(r.Changes) > 0 {
			by = r.Changes[0]
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", r.Key, r.Revision, r.Bytes, by)
	}
	return w.Flush()
}

func inspect(_ context.Context, c *cli.Command) error {
	d, err := readData(c.Args().First())
	if err != nil && d.File == "" {
		return err
	}
	if c.Bool("json") {
		return errors.Join(err, printJSON(d))
	}
	return errors.Join(err, d.write(os.Stdout))
}

func copyLog(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return errors.New("name the folder to copy and the one to copy it to")
	}
	from, err := voterFolder(c.Args().Get(0))
	if err != nil {
		return err
	}
	to := c.Args().Get(1)
	if err := wal.Copy(from, to); err != nil {
		return err
	}
	fmt.Printf("copied %s to %s and read it back\n", from, to)
	return nil
}
