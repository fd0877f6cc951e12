package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"stoneford/schema"
)

// Problem is an error in the text of settings.
type Problem struct {
	Field string `json:"field"` // path of the field, "" for the complete text
	Text  string `json:"text"`
}

// String returns the path of the field and the text.
func (p Problem) String() string { return p.Field + ": " + p.Text }

// problems collects the problems of one text.
type problems struct{ list []Problem }

func (p *problems) add(path, format string, args ...any) {
	p.list = append(p.list, Problem{Field: path, Text: fmt.Sprintf(format, args...)})
}

// Read sets the fields of m from a JSON text, or from the defaults for fields that the text
// does not have, and returns every problem found. It leaves a scalar field with a problem
// unset.
func Read(text []byte, m proto.Message) []Problem {
	d := numberDecoder(bytes.NewReader(text))
	var v any
	if err := d.Decode(&v); err != nil {
		return []Problem{{Field: "", Text: "not JSON: " + err.Error()}}
	}
	if d.More() {
		return []Problem{{Field: "", Text: "more than one JSON value"}}
	}
	var problems problems
	readMessage(&problems, "", v, m.ProtoReflect())
	return problems.list
}

// numberDecoder returns a decoder that decodes numbers as json.Number, since float64 would
// lose digits.
func numberDecoder(r io.Reader) *json.Decoder {
	d := json.NewDecoder(r)
	d.UseNumber()
	return d
}

// FieldSetting returns the setting options that schema/settings.proto gives a field, such
// as its default and its bounds; nil if it gives none.
func FieldSetting(f protoreflect.FieldDescriptor) *schema.Setting {
	s, _ := proto.GetExtension(f.Options(), schema.E_Setting).(*schema.Setting)
	return s
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func readMessage(problems *problems, path string, v any, m protoreflect.Message) {
	object, ok := v.(map[string]any)
	if !ok {
		problems.add(path, "must be an object")
		return
	}
	fields := m.Descriptor().Fields()
	names := make([]string, fields.Len())
	for i := range names {
		names[i] = string(fields.Get(i).Name())
	}
	for _, name := range slices.Sorted(maps.Keys(object)) {
		if !slices.Contains(names, name) {
			problems.add(joinPath(path, name), "unknown; known here: %s", strings.Join(names, ", "))
		}
	}
	for i, name := range names {
		f := fields.Get(i)
		value, ok := object[name]
		switch setting := FieldSetting(f); {
		case ok:
		case setting.GetRequired():
			problems.add(joinPath(path, name), "required")
			continue
		case setting.GetDefault() == "":
			continue
		default:
			value = defaultValue(f)
		}
		readField(problems, joinPath(path, name), value, m, f)
	}
}

// defaultValue decodes a field's default. It panics if the default is not JSON, which is a
// defect of the schema.
func defaultValue(f protoreflect.FieldDescriptor) any {
	var v any
	if err := numberDecoder(strings.NewReader(FieldSetting(f).Default)).Decode(&v); err != nil {
		panic("settings: default of " + string(f.FullName()) + ": " + err.Error())
	}
	return v
}

func readField(problems *problems, path string, v any, m protoreflect.Message, f protoreflect.FieldDescriptor) {
	switch {
	case f.IsMap():
		readMap(problems, path, v, m, f)
	case f.IsList():
		readList(problems, path, v, m, f)
	default:
		if value, ok := readScalar(problems, path, v, f, FieldSetting(f)); ok {
			m.Set(f, value)
		}
	}
}

func readMap(problems *problems, path string, v any, m protoreflect.Message, f protoreflect.FieldDescriptor) {
	object, ok := v.(map[string]any)
	if !ok {
		problems.add(path, "must be an object")
		return
	}
	setting, entries := FieldSetting(f), m.Mutable(f).Map()
	for _, name := range slices.Sorted(maps.Keys(object)) {
		entryPath := joinPath(path, name)
		if !matchesPattern(setting.GetPattern(), name) {
			problems.add(entryPath, "a name must match %s", setting.Pattern)
		}
		key := protoreflect.ValueOfString(name).MapKey()
		if f.MapValue().Kind() == protoreflect.MessageKind {
			readMessage(problems, entryPath, object[name], entries.Mutable(key).Message())
		} else if value, ok := readScalar(problems, entryPath, object[name], f.MapValue(), &schema.Setting{}); ok {
			entries.Set(key, value)
		}
	}
}

func readList(problems *problems, path string, v any, m protoreflect.Message, f protoreflect.FieldDescriptor) {
	items, ok := v.([]any)
	if !ok {
		problems.add(path, "must be a list")
		return
	}
	setting := FieldSetting(f)
	minItems, maxItems := int(setting.GetMinItems()), int(setting.GetMaxItems())
	if len(items) < minItems || maxItems > 0 && len(items) > maxItems {
		problems.add(path, "must have %d to %d items, has %d", minItems, maxItems, len(items))
	}
	list := m.Mutable(f).List()
	for i, item := range items {
		if value, ok := readScalar(problems, fmt.Sprintf("%s[%d]", path, i), item, f, setting); ok {
			list.Append(value)
		}
	}
}
