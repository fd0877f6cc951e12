package platform

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"time"
)

// fields holds the settings by name, and the errors found in them.
type fields struct {
	values map[string]string
	errs   []error
}

// parseFields parses lines of the form name=value. It ignores empty lines and lines that
// begin with #.
func parseFields(text []byte) *fields {
	f := &fields{values: map[string]string{}}
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		name, value, ok := strings.Cut(line, "=")
		if !ok {
			f.reject(fmt.Sprintf("line %d", i+1), "is not of the form name=value")
			continue
		}
		f.values[strings.TrimSpace(name)] = strings.TrimSpace(value)
	}
	return f
}

// reject records an error for a field.
func (f *fields) reject(name, problem string) {
	f.errs = append(f.errs, fmt.Errorf("%s: %s", name, problem))
}

// text returns the value of a field. A required field must not be empty.
func (f *fields) text(name string, required bool) string {
	v := f.values[name]
	if v == "" && required {
		f.reject(name, "is missing")
	}
	return v
}

// list returns the values of a field that are separated by commas.
func (f *fields) list(name string, required bool) (vs []string) {
	for _, v := range strings.Split(f.text(name, required), ",") {
		if v = strings.TrimSpace(v); v != "" {
			vs = append(vs, v)
		}
	}
	return vs
}

// number returns the value of a numeric field, or 0 if it is empty.
func (f *fields) number(name string) float64 {
	v := f.values[name]
	if v == "" {
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || n < 0 || n > 1e12 {
		f.reject(name, fmt.Sprintf("%q is not a number from 0 to 1e12", v))
		return 0
	}
	return n
}

// boolean returns the value of a boolean field, or false if it is empty.
func (f *fields) boolean(name string) bool {
	switch v := f.values[name]; v {
	case "true":
		return true
	case "", "false":
	default:
		f.reject(name, fmt.Sprintf("%q is neither true nor false", v))
	}
	return false
}

// microseconds returns the value of a field that holds a duration in a unit, in µs.
func (f *fields) microseconds(name string, unit time.Duration) int64 {
	return int64(math.Round(f.number(name) * float64(unit/time.Microsecond)))
}

// address returns the value of a field of the form IP:port.
func (f *fields) address(name string, required bool) string {
	v := f.text(name, required)
	if v != "" {
		f.checkAddress(name, v)
	}
	return v
}

// checkAddress records an error if a value is not of the form IP:port.
func (f *fields) checkAddress(name, v string) {
	h, p, err := net.SplitHostPort(v)
	n, perr := strconv.Atoi(p)
	if err != nil || net.ParseIP(h) == nil || perr != nil || n < 1 || n > 65535 {
		f.reject(name, fmt.Sprintf("%q is not an address IP:port with a port from 1 to 65535", v))
	}
}
