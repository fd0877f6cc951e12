// Command generate-schema compiles schema/*.proto and runs the two
// generators that go.mod names (protobuf and drpc) over them. It is a build tool: it needs no
// other compiler.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if err := generate(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func generate() error {
	fs, err := filepath.Glob("schema/*.proto")
	if err != nil {
		return err
	}
	ns := make([]string, len(fs))
	for i, f := range fs {
		ns[i] = filepath.ToSlash(f)
	}
	co := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	res, err := co.Compile(context.Background(), ns...)
	if err != nil {
		return err
	}
	req := &pluginpb.CodeGeneratorRequest{FileToGenerate: ns, Parameter: proto.String("paths=source_relative")}
	dp := &descriptorpb.FileDescriptorProto{}
	seen := map[string]bool{}
	for _, f := range res {
		is := f.Imports()
		for i := range is.Len() {
			d := is.Get(i).FileDescriptor
			if !seen[d.Path()] {
				seen[d.Path()] = true
				req.ProtoFile = append(req.ProtoFile, protoutil.ProtoFromFileDescriptor(d))
			}
		}
	}
	for _, f := range res {
		// Through bytes, so that the extension's own options are plain again.
		b, err := proto.Marshal(protoutil.ProtoFromFileDescriptor(f))
		if err != nil {
			return err
		}
		dp = &descriptorpb.FileDescriptorProto{}
		if err := proto.Unmarshal(b, dp); err != nil {
			return err
		}
		req.ProtoFile = append(req.ProtoFile, dp)
	}
	in, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	for _, t := range []string{"protoc-gen-go", "protoc-gen-go-drpc"} {
		if err := run(t, in); err != nil {
			return fmt.Errorf("%s: %w", t, err)
		}
	}
	return nil
}

func run(tool string, in []byte) error {
	var out bytes.Buffer
	c := exec.Command("go", "tool", tool)
	c.Stdin, c.Stdout, c.Stderr = bytes.NewReader(in), &out, os.Stderr
	if err := c.Run(); err != nil {
		return err
	}
	var rp pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(out.Bytes(), &rp); err != nil {
		return err
	}
	if rp.Error != nil {
		return fmt.Errorf("%s", *rp.Error)
	}
	for _, f := range rp.File {
		if err := os.WriteFile(f.GetName(), []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
