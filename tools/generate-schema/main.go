// Command generate-schema compiles schema/*.proto and generates Go code with the two
// generators that go.mod pins, for protobuf and drpc. It does not need protoc.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/linker"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if err := generateAll(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// generateAll compiles the schema files and runs both generators on the result.
func generateAll() error {
	files, err := filepath.Glob("schema/*.proto")
	if err != nil {
		return err
	}
	for i, f := range files {
		files[i] = filepath.ToSlash(f)
	}
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	compiled, err := compiler.Compile(context.Background(), files...)
	if err != nil {
		return err
	}
	request := &pluginpb.CodeGeneratorRequest{FileToGenerate: files, Parameter: proto.String("paths=source_relative"), ProtoFile: importedFiles(compiled)}
	for _, f := range compiled {
		d, err := plainDescriptor(f)
		if err != nil {
			return err
		}
		request.ProtoFile = append(request.ProtoFile, d)
	}
	encodedRequest, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	for _, tool := range []string{"protoc-gen-go", "protoc-gen-go-drpc"} {
		if err := runGenerator(tool, encodedRequest); err != nil {
			return fmt.Errorf("%s: %w", tool, err)
		}
	}
	return nil
}

// importedFiles returns the descriptors of the files that the compiled files import,
// without duplicates.
func importedFiles(compiled linker.Files) (out []*descriptorpb.FileDescriptorProto) {
	seen := map[string]bool{}
	for _, f := range compiled {
		imported := f.Imports()
		for i := range imported.Len() {
			d := imported.Get(i).FileDescriptor
			if !seen[d.Path()] {
				seen[d.Path()] = true
				out = append(out, protoutil.ProtoFromFileDescriptor(d))
			}
		}
	}
	return out
}

// plainDescriptor returns the descriptor of a file, encoded and decoded again. This turns
// the options that the schema defines into unknown fields, the form that generators
// expect.
func plainDescriptor(f protoreflect.FileDescriptor) (*descriptorpb.FileDescriptorProto, error) {
	b, err := proto.Marshal(protoutil.ProtoFromFileDescriptor(f))
	if err != nil {
		return nil, err
	}
	d := &descriptorpb.FileDescriptorProto{}
	return d, proto.Unmarshal(b, d)
}

// runGenerator runs a generator on a request and writes the files in its response.
func runGenerator(tool string, encodedRequest []byte) error {
	var encodedResponse bytes.Buffer
	c := exec.Command("go", "tool", tool)
	c.Stdin, c.Stdout, c.Stderr = bytes.NewReader(encodedRequest), &encodedResponse, os.Stderr
	if err := c.Run(); err != nil {
		return err
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(encodedResponse.Bytes(), &response); err != nil {
		return err
	}
	if response.Error != nil {
		return fmt.Errorf("%s", *response.Error)
	}
	for _, f := range response.File {
		if err := os.WriteFile(f.GetName(), []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
