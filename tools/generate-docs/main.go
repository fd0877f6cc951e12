// Command generate-docs writes the pages in docs/ that list the result codes and the
// settings, from package result and from the schema of the settings.
package main

import (
	"fmt"
	"os"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"stoneford/internal/settings"
	"stoneford/result"
	"stoneford/schema"
)

func main() {
	for path, text := range map[string]string{"docs/result-codes.md": resultCodesPage(), "docs/settings.md": settingsPage()} {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// resultCodesPage returns the page of result codes.
func resultCodesPage() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\nGenerated from `result/result.go` by `go generate ./...`.\n\n")
	b.WriteString("Codes 100 to 199 are the caller's errors, 200 to 299 bounces (nothing was kept; come back), 300 to 399 ends that the caller has to look into, 400 to 499 returns to operators, 500 and up lines of the log.\n\n")
	b.WriteString("| code | HTTP | meaning | what to do |\n| --- | --- | --- | --- |\n")
	for _, r := range result.Table {
		httpStatus := fmt.Sprint(r.HTTP)
		if r.HTTP == 0 {
			httpStatus = "log"
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", r.Code, httpStatus, r.Meaning, r.Action)
	}
	return b.String()
}

// settingsPage returns the page of settings.
func settingsPage() string {
	var b strings.Builder
	b.WriteString("# Tables of settings\n\nGenerated from `schema/settings.proto` by `go generate ./...`. Times are whole microseconds.\n")
	fmt.Fprintf(&b, "\n## Boot settings\n\nRead from the file named by `--boot`; a flag of the same name (with `-` for `_`) wins over the file. The file is looked at once a second; what takes effect at once needs no signal.\n\n")
	writeTable(&b, (&schema.Boot{}).ProtoReflect().Descriptor(), "", true)
	fmt.Fprintf(&b, "\n## Configuration\n\nWhat a partner's operators send. `*` stands for a name.\n\n")
	writeTable(&b, (&schema.Configuration{}).ProtoReflect().Descriptor(), "", false)
	return b.String()
}

// writeTable writes a row for each field of a message, and rows for the fields of the
// messages in its maps, with prefix before the names of the fields. If prefix is empty, it
// first writes the head of the table. If boot is set, the table has the column "takes
// effect".
func writeTable(b *strings.Builder, d protoreflect.MessageDescriptor, prefix string, boot bool) {
	if prefix == "" {
		b.WriteString("| field | type | default | check |")
		if boot {
			b.WriteString(" takes effect |")
		}
		b.WriteString(" meaning |\n| --- | --- | --- | --- | --- |")
		if boot {
			b.WriteString(" --- |")
		}
		b.WriteString("\n")
	}
	fields := d.Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		s := settings.FieldSetting(f)
		defaultValue := s.GetDefault()
		if s.GetRequired() {
			defaultValue = "required"
		}
		fieldType := f.Kind().String()
		if f.IsMap() {
			fieldType = "object by name"
		} else if f.IsList() {
			fieldType = "list of " + fieldType
		}
		fmt.Fprintf(b, "| `%s%s` | %s | %s | %s |", prefix, f.Name(), fieldType, formatDefault(defaultValue), strings.ReplaceAll(formatChecks(s), "|", "\\|"))
		if boot {
			fmt.Fprintf(b, " %s |", s.GetBootEffect())
		}
		fmt.Fprintf(b, " %s |\n", s.GetDoc())
		if f.IsMap() && f.MapValue().Kind() == protoreflect.MessageKind {
			writeTable(b, f.MapValue().Message(), prefix+string(f.Name())+".*.", boot)
		}
	}
}

// formatDefault formats a default value.
func formatDefault(s string) string {
	if s == "" || s == "required" {
		return s
	}
	return "`" + s + "`"
}

// formatChecks describes the checks of a setting.
func formatChecks(s *schema.Setting) string {
	var checks []string
	if s.GetPattern() != "" {
		checks = append(checks, "`"+s.Pattern+"`")
	}
	if len(s.GetOneOf()) > 0 {
		checks = append(checks, "one of "+strings.Join(s.OneOf, ", "))
	}
	if s.GetMax() > 0 {
		checks = append(checks, fmt.Sprintf("%d to %d", s.GetMin(), s.GetMax()))
	}
	if s.GetMinItems() > 0 {
		checks = append(checks, fmt.Sprintf("%d to %d items", s.GetMinItems(), s.GetMaxItems()))
	}
	return strings.Join(checks, "; ")
}
