package config

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/reflect/protoreflect"

	"stoneford/internal/settings"
	"stoneford/schema"
)

// fileFlag names the flag of the configuration file.
const fileFlag = "boot"

// Flags returns the command-line flags of a daemon: the flag of the configuration file, and
// a flag for each setting that is not a map.
func Flags() []cli.Flag {
	flags := []cli.Flag{&cli.StringFlag{Name: fileFlag, Usage: "boot `FILE` in JSON"}}
	for _, f := range bootFields() {
		usage := settings.FieldSetting(f).GetDoc()
		switch {
		case f.IsMap():
			continue
		case f.IsList():
			usage += ", separated by commas"
		}
		flags = append(flags, &cli.StringFlag{Name: flagName(f), Usage: usage})
	}
	return flags
}

func bootFields() []protoreflect.FieldDescriptor {
	descriptors := (&schema.Boot{}).ProtoReflect().Descriptor().Fields()
	fields := make([]protoreflect.FieldDescriptor, descriptors.Len())
	for i := range fields {
		fields[i] = descriptors.Get(i)
	}
	return fields
}

func flagName(f protoreflect.FieldDescriptor) string {
	return strings.ReplaceAll(string(f.Name()), "_", "-")
}

// Read reads the file, overrides its settings by those given as flags, and checks the
// result. The error lists every problem found.
func Read(c *cli.Command) (*schema.Boot, error) {
	values, err := readFile(c.String(fileFlag))
	if err != nil {
		return nil, err
	}
	for _, f := range bootFields() {
		name := flagName(f)
		value := c.String(name)
		if value == "" || !c.IsSet(name) {
			continue
		}
		if f.IsList() {
			values[string(f.Name())] = strings.Split(value, ",")
		} else {
			values[string(f.Name())] = value
		}
	}
	text, err := json.Marshal(values)
	if err != nil {
		return nil, err
	}
	return Check(text)
}

// readFile reads the JSON object in a file. It returns an empty object if path is empty.
func readFile(path string) (map[string]any, error) {
	values := map[string]any{}
	if path == "" {
		return values, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &values); err != nil {
		return nil, errs.New("%s: %v", path, err)
	}
	return values, nil
}

// Check reads a configuration from its JSON text. The error lists every problem found,
// each with the name of its setting.
func Check(text []byte) (*schema.Boot, error) {
	boot := &schema.Boot{}
	var problems errs.Group
	for _, p := range settings.Read(text, boot) {
		problems.Add(fmt.Errorf("boot: %s", p))
	}
	return boot, problems.Err()
}
