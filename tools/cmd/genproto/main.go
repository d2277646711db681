// Command genproto compiles .proto files to Go without protoc, so that the code can
// be generated again and compared with the committed code on a machine that has
// only Go. It compiles the
// files with the protocompile library and passes the descriptors to
// protoc-gen-go.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: genproto DIR FILE.proto")
		os.Exit(2)
	}
	if err := generate(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "genproto:", err)
		os.Exit(1)
	}
}

// generate writes the Go code of dir/file to dir.
func generate(dir, file string) error {
	request, err := compile(dir, file)
	if err != nil {
		return fmt.Errorf("compile %s: %w", file, err)
	}
	input, err := proto.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode plugin request: %w", err)
	}
	plugin := exec.Command("go", "tool", "protoc-gen-go")
	plugin.Stdin = bytes.NewReader(input)
	plugin.Stderr = os.Stderr
	output, err := plugin.Output()
	if err != nil {
		return fmt.Errorf("run protoc-gen-go: %w", err)
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return fmt.Errorf("decode plugin response: %w", err)
	}
	if response.Error != nil {
		return fmt.Errorf("protoc-gen-go: %s", response.GetError())
	}
	for _, f := range response.File {
		path := filepath.Join(dir, filepath.Base(f.GetName()))
		if err := os.WriteFile(path, []byte(f.GetContent()), 0o644); err != nil {
			return fmt.Errorf("write generated code: %w", err)
		}
	}
	return nil
}

// compile returns the plugin request for one file, including its comments.
func compile(dir, file string) (*pluginpb.CodeGeneratorRequest, error) {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{dir}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), file)
	if err != nil {
		return nil, err
	}
	return &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{file},
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protodesc.ToFileDescriptorProto(files[0])},
	}, nil
}
