package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"stoneford/internal/wal"
	"stoneford/schema"
)

func TestInspectVoterFolder(t *testing.T) {
	own := t.TempDir()
	l, err := wal.Open(filepath.Join(own, "voter"), func(*schema.WALEntry) {})
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range []*schema.WALEntry{
		{DiskId: 7, Membership: &schema.Membership{Number: 2, Voters: []*schema.Voter{{Address: "10.1.0.8:7440", DiskId: 7}}}},
		{ActiveMembership: 2, Registers: []*schema.RegisterState{{Key: "routes", Value: &schema.Value{Revision: 3, Data: []byte("data"), ChangeIds: []string{"newest", "older"}}}}},
	} {
		if err := l.Write([]*schema.WALEntry{e}, func() *schema.WALEntry { return &schema.WALEntry{} }); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	to := filepath.Join(t.TempDir(), "copy")
	if err := wal.Copy(filepath.Join(own, "voter"), to); err != nil {
		t.Fatal(err)
	}
	for _, folder := range []string{own, filepath.Join(own, "voter"), to} {
		d, err := readData(folder)
		if err != nil || !d.isVoter() || d.Membership != 2 || len(d.Voters) != 1 || d.Voters[0] != (dataVoter{"10.1.0.8:7440", "0000000000000007"}) || len(d.Registers) != 1 || d.Registers[0].Revision != 3 || d.Registers[0].Bytes != 4 {
			t.Fatalf("%s: %v %+v", folder, err, d)
		}
		var b bytes.Buffer
		if err := d.write(&b); err != nil || !strings.Contains(b.String(), "it votes") || !strings.Contains(b.String(), "newest") {
			t.Errorf("%v %s", err, &b)
		}
	}
	for _, folder := range []string{"", filepath.Join(own, "nothing"), t.TempDir()} {
		if d, err := readData(folder); err == nil {
			t.Errorf("%q: %+v", folder, d)
		}
	}
	es, err := os.ReadDir(to)
	if err != nil || len(es) == 0 {
		t.Fatal(es, err)
	}
	p := filepath.Join(to, es[0].Name())
	b, err := os.ReadFile(p)
	if err != nil {
		t.Fatal(err)
	}
	b[20] ^= 0xff // in the first frame, with a sound one behind it
	if err := os.WriteFile(p, b, 0o644); err != nil {
		t.Fatal(err)
	}
	if d, err := readData(to); err == nil {
		t.Errorf("damage passed: %+v", d)
	}
}
