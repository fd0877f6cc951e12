// Package settings reads and checks JSON against the tables of settings in
// schema/settings.proto: each field's type, default and check stand there
// (design 10).
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"stoneford/schema"
)

// Problem is one error, by field.
type Problem struct {
	Field string `json:"field"`
	Text  string `json:"text"`
}

func (p Problem) String() string { return p.Field + ": " + p.Text }

// problems collects all errors of one reading; it is looked at once.
type problems struct{ list []Problem }

func (p *problems) add(field, text string, args ...any) {
	p.list = append(p.list, Problem{Field: field, Text: fmt.Sprintf(text, args...)})
}

// Read fills m from JSON text and returns every error found.
func Read(text []byte, m proto.Message) []Problem {
	var problems problems
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return []Problem{{Field: "", Text: "not JSON: " + err.Error()}}
	}
	if d.More() {
		return []Problem{{Field: "", Text: "more than one JSON value"}}
	}
	readMessage(&problems, "", v, m.ProtoReflect())
	return problems.list
}

// FieldSetting is a field's line in its table.
func FieldSetting(f protoreflect.FieldDescriptor) *schema.Setting {
	s, _ := proto.GetExtension(f.Options(), schema.E_Setting).(*schema.Setting)
	return s
}

func joinPath(p, k string) string {
	if p == "" {
		return k
	}
	return p + "." + k
}

func readMessage(problems *problems, path string, v any, m protoreflect.Message) {
	o, ok := v.(map[string]any)
	if !ok {
		problems.add(path, "must be an object")
		return
	}
	fs := m.Descriptor().Fields()
	ns := make([]string, fs.Len())
	for i := range fs.Len() {
		ns[i] = string(fs.Get(i).Name())
	}
	for _, k := range slices.Sorted(maps.Keys(o)) {
		if !slices.Contains(ns, k) {
			problems.add(joinPath(path, k), "unknown; known here: %s", strings.Join(ns, ", "))
		}
	}
	for i := range fs.Len() {
		f := fs.Get(i)
		t := FieldSetting(f)
		p := joinPath(path, ns[i])
		w, ok := o[ns[i]]
		if !ok {
			if t.GetRequired() {
				problems.add(p, "required")
				continue
			}
			if t.GetDefault() == "" {
				continue
			}
			d := json.NewDecoder(strings.NewReader(t.Default))
			d.UseNumber()
			if err := d.Decode(&w); err != nil {
				panic("settings: default of " + string(f.FullName()) + ": " + err.Error())
			}
		}
		readField(problems, p, w, m, f, t)
	}
}

func readField(problems *problems, p string, v any, m protoreflect.Message, f protoreflect.FieldDescriptor, t *schema.Setting) {
	switch {
	case f.IsMap():
		o, ok := v.(map[string]any)
		if !ok {
			problems.add(p, "must be an object")
			return
		}
		mp := m.Mutable(f).Map()
		for _, k := range slices.Sorted(maps.Keys(o)) {
			if !matchesPattern(t.GetPattern(), k) {
				problems.add(joinPath(p, k), "a name must match %s", t.Pattern)
			}
			key := protoreflect.ValueOfString(k).MapKey()
			if f.MapValue().Kind() == protoreflect.MessageKind {
				readMessage(problems, joinPath(p, k), o[k], mp.Mutable(key).Message())
			} else if w, ok := readScalar(problems, joinPath(p, k), o[k], f.MapValue(), &schema.Setting{}); ok {
				mp.Set(key, w)
			}
		}
	case f.IsList():
		a, ok := v.([]any)
		if !ok {
			problems.add(p, "must be a list")
			return
		}
		if len(a) < int(t.GetMinItems()) || t.GetMaxItems() > 0 && len(a) > int(t.GetMaxItems()) {
			problems.add(p, "must have %d to %d items, has %d", t.GetMinItems(), t.GetMaxItems(), len(a))
		}
		l := m.Mutable(f).List()
		for i, w := range a {
			if s, ok := readScalar(problems, fmt.Sprintf("%s[%d]", p, i), w, f, t); ok {
				l.Append(s)
			}
		}
	default:
		if w, ok := readScalar(problems, p, v, f, t); ok {
			m.Set(f, w)
		}
	}
}

func readScalar(problems *problems, p string, v any, f protoreflect.FieldDescriptor, t *schema.Setting) (protoreflect.Value, bool) {
	var no protoreflect.Value
	switch f.Kind() {
	case protoreflect.StringKind:
		s, ok := v.(string)
		switch {
		case !ok:
			problems.add(p, "must be a text")
		case !matchesPattern(t.GetPattern(), s):
			problems.add(p, "must match %s", t.Pattern)
		case len(t.GetOneOf()) > 0 && !slices.Contains(t.OneOf, s):
			problems.add(p, "must be one of %s", strings.Join(t.OneOf, ", "))
		default:
			return protoreflect.ValueOfString(s), true
		}
	case protoreflect.BoolKind:
		if b, ok := v.(bool); ok {
			return protoreflect.ValueOfBool(b), true
		}
		problems.add(p, "must be true or false")
	case protoreflect.Int32Kind, protoreflect.Int64Kind:
		j, ok := v.(json.Number)
		n, err := j.Int64()
		hi := lo.Ternary(t.GetMax() > 0, t.GetMax(), int64(math.MaxInt64))
		if f.Kind() == protoreflect.Int32Kind {
			hi = min(hi, math.MaxInt32)
		}
		switch {
		case !ok || err != nil:
			problems.add(p, "must be a whole number")
		case n < t.GetMin() || n > hi:
			problems.add(p, "must be from %d to %d", t.GetMin(), hi)
		case f.Kind() == protoreflect.Int32Kind:
			return protoreflect.ValueOfInt32(int32(n)), true
		default:
			return protoreflect.ValueOfInt64(n), true
		}
	}
	return no, false
}

var compiledPatterns sync.Map

func matchesPattern(pattern, s string) bool {
	if pattern == "" {
		return true
	}
	r, ok := compiledPatterns.Load(pattern)
	if !ok {
		r, _ = compiledPatterns.LoadOrStore(pattern, regexp.MustCompile("^(?:"+pattern+")$"))
	}
	return r.(*regexp.Regexp).MatchString(s)
}

// ReadConfiguration reads an operator's configuration and checks what no
// single field can: that names lead somewhere.
func ReadConfiguration(text []byte) (*schema.Configuration, []Problem) {
	c := &schema.Configuration{}
	problems := problems{list: Read(text, c)}
	if len(problems.list) == 1 && problems.list[0].Field == "" {
		return c, problems.list
	}
	memberOf := map[string]string{}
	databaseAt := map[string]string{}
	for _, n := range slices.Sorted(maps.Keys(c.Databases)) {
		a := c.Databases[n].Address
		if o, ok := databaseAt[a]; ok && a != "" {
			problems.add("databases."+n+".address", "is also that of %s", o)
		}
		databaseAt[a] = n
	}
	for _, n := range slices.Sorted(maps.Keys(c.Groups)) {
		g := c.Groups[n]
		for i, m := range g.Members {
			p := fmt.Sprintf("groups.%s.members[%d]", n, i)
			if c.Databases[m] == nil {
				problems.add(p, "no such database: %s", m)
			}
			if o, ok := memberOf[m]; ok {
				problems.add(p, "%s is already a member of %s", m, o)
			}
			memberOf[m] = n
		}
		if g.Primary != "" && !slices.Contains(g.Members, g.Primary) {
			problems.add("groups."+n+".primary", "%s is not a member", g.Primary)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(c.Routes)) {
		r := c.Routes[n]
		if r.Group != "" && c.Groups[r.Group] == nil {
			problems.add("routes."+n+".group", "no such group: %s", r.Group)
		}
		for i, k := range r.Classes {
			if c.Classes[k] == nil {
				problems.add(fmt.Sprintf("routes.%s.classes[%d]", n, i), "no such class: %s", k)
			}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(c.Classes)) {
		k := c.Classes[n]
		if k.Kind != "current" && k.MarginUs >= k.StaleUs {
			problems.add("classes."+n+".margin_us", "must be less than stale_us")
		}
	}
	if _, err := time.LoadLocation(c.TimeZone); err != nil {
		problems.add("time_zone", "unknown: %s", c.TimeZone)
	}
	return c, problems.list
}

// Write gives a configuration's JSON text, names as in the schema.
func Write(m proto.Message) ([]byte, error) {
	b, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		return nil, err
	}
	// Whole numbers of 64 bits are texts there; here they are numbers.
	return quotedMicroseconds.ReplaceAll(b, []byte(`$1$2`)), nil
}

var quotedMicroseconds = regexp.MustCompile(`("[a-z_]+_us": ?)"(\d+)"`)
