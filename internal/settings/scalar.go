package settings

import (
	"encoding/json"
	"math"
	"regexp"
	"slices"
	"strings"
	"sync"

	"google.golang.org/protobuf/reflect/protoreflect"

	"stoneford/schema"
)

// readScalar returns the value of a string, boolean or integer field, or of an element of
// a list or map of these. It reports whether the value is valid.
func readScalar(problems *problems, path string, v any, f protoreflect.FieldDescriptor, setting *schema.Setting) (protoreflect.Value, bool) {
	switch f.Kind() {
	case protoreflect.StringKind:
		return readString(problems, path, v, setting)
	case protoreflect.BoolKind:
		if b, ok := v.(bool); ok {
			return protoreflect.ValueOfBool(b), true
		}
		problems.add(path, "must be true or false")
	case protoreflect.Int32Kind:
		n, ok := readInteger(problems, path, v, setting, math.MaxInt32)
		return protoreflect.ValueOfInt32(int32(n)), ok
	case protoreflect.Int64Kind:
		n, ok := readInteger(problems, path, v, setting, math.MaxInt64)
		return protoreflect.ValueOfInt64(n), ok
	}
	return protoreflect.Value{}, false
}

func readString(problems *problems, path string, v any, setting *schema.Setting) (protoreflect.Value, bool) {
	s, ok := v.(string)
	switch {
	case !ok:
		problems.add(path, "must be a text")
	case !matchesPattern(setting.GetPattern(), s):
		problems.add(path, "must match %s", setting.Pattern)
	case len(setting.GetOneOf()) > 0 && !slices.Contains(setting.OneOf, s):
		problems.add(path, "must be one of %s", strings.Join(setting.OneOf, ", "))
	default:
		return protoreflect.ValueOfString(s), true
	}
	return protoreflect.Value{}, false
}

// readInteger returns an integer, if it is within the setting's bounds and not greater than
// typeMax.
func readInteger(problems *problems, path string, v any, setting *schema.Setting, typeMax int64) (int64, bool) {
	number, isNumber := v.(json.Number)
	n, err := number.Int64()
	limit := typeMax
	if setting.GetMax() > 0 {
		limit = min(limit, setting.GetMax())
	}
	switch {
	case !isNumber || err != nil:
		problems.add(path, "must be a whole number")
	case n < setting.GetMin() || n > limit:
		problems.add(path, "must be from %d to %d", setting.GetMin(), limit)
	default:
		return n, true
	}
	return 0, false
}

// compiledPatterns caches the compiled patterns of the schema.
var compiledPatterns sync.Map // pattern to *regexp.Regexp

// matchesPattern reports whether a pattern matches all of s. The empty pattern matches any
// string.
func matchesPattern(pattern, s string) bool {
	if pattern == "" {
		return true
	}
	compiled, ok := compiledPatterns.Load(pattern)
	if !ok {
		compiled, _ = compiledPatterns.LoadOrStore(pattern, regexp.MustCompile("^(?:"+pattern+")$"))
	}
	return compiled.(*regexp.Regexp).MatchString(s)
}
