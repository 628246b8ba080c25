// Package strictjson decodes JSON with comments into Go structs. It reports all unknown fields, duplicate
// fields and wrong types of a document at once, each with its line.
package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Reason is the category of a fault.
type Reason string

// Reasons that this package reports. Callers define further ones.
const (
	ReasonSyntax         Reason = "syntax error"
	ReasonUnknownField   Reason = "unknown field"
	ReasonDuplicateField Reason = "duplicate field"
	ReasonWrongType      Reason = "wrong type"
)

// Fault describes one error in a document.
type Fault struct {
	Line   int    `json:"line"`  // line in the source, starting at 1
	Field  string `json:"field"` // path such as "tiers[0].name"; empty for the complete document
	Reason Reason `json:"reason"`
	Detail string `json:"detail,omitempty"`
}

func (f Fault) String() string {
	text := fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Reason)
	if f.Detail != "" {
		text += ": " + f.Detail
	}
	return text
}

// FaultsError lists all faults of a document: structural faults in the order of their lines, followed by those
// that the caller added.
type FaultsError struct {
	Faults []Fault
}

func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Document holds the faults of a decoded document and the position of each field in the source text.
type Document struct {
	source  []byte
	offsets map[string]int // byte offset in source by field path
	faults  []Fault
}

// Decode decodes data into the struct that into points to. Structural faults are stored in the document and
// returned by Err, together with the faults that the caller adds.
func Decode(data []byte, into any) *Document {
	d := &Document{source: data, offsets: map[string]int{}}
	value, err := hujson.Parse(data)
	if err != nil {
		d.faults = append(d.faults, Fault{Line: errorLine(err), Reason: ReasonSyntax, Detail: err.Error()})
		return d
	}
	d.check(&value, reflect.TypeOf(into).Elem(), "")
	if len(d.faults) > 0 {
		return d
	}
	value.Standardize()
	if err := json.Unmarshal(value.Pack(), into); err != nil {
		d.faults = append(d.faults, Fault{Line: 1, Reason: ReasonWrongType, Detail: err.Error()})
	}
	return d
}

// AddFault records a fault of a field. Its line is that of the field or of the closest enclosing field in the
// source.
func (d *Document) AddFault(field string, reason Reason, detail string) {
	d.faults = append(d.faults, Fault{Line: d.line(field), Field: field, Reason: reason, Detail: detail})
}

// Valid reports whether the document has no faults so far.
func (d *Document) Valid() bool { return len(d.faults) == 0 }

// Err returns *FaultsError when the document has any fault.
func (d *Document) Err() error {
	if d.Valid() {
		return nil
	}
	return &FaultsError{Faults: d.faults}
}

func (d *Document) line(field string) int {
	for field != "" {
		if offset, found := d.offsets[field]; found {
			return d.lineAt(offset)
		}
		separator := strings.LastIndexAny(field, ".[")
		if separator < 0 {
			break
		}
		field = field[:separator]
	}
	return 1
}

func (d *Document) lineAt(offset int) int {
	return 1 + bytes.Count(d.source[:min(offset, len(d.source))], []byte{'\n'})
}

func errorLine(err error) int {
	var line, column int
	text := err.Error()
	if at := strings.Index(text, "line "); at >= 0 {
		if _, scanErr := fmt.Sscanf(text[at:], "line %d, column %d", &line, &column); scanErr == nil {
			return line
		}
	}
	return 1
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func (d *Document) check(v *hujson.Value, t reflect.Type, path string) {
	d.offsets[path] = v.StartOffset
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(textUnmarshaler) {
		d.checkScalar(v, t, path)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		d.checkStruct(v, t, path)
	case reflect.Map:
		d.checkMap(v, t, path)
	case reflect.Slice:
		d.checkSlice(v, t, path)
	default:
		d.checkScalar(v, t, path)
	}
}

func (d *Document) checkStruct(v *hujson.Value, t reflect.Type, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.AddFault(path, ReasonWrongType, "want an object")
		return
	}
	fields := structFields(t)
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		child := joinPath(path, name)
		d.offsets[child] = member.Name.StartOffset
		field, known := fields[name]
		switch {
		case !known:
			d.AddFault(child, ReasonUnknownField, "")
		case seen[name]:
			d.AddFault(child, ReasonDuplicateField, "")
		default:
			d.check(&member.Value, field, child)
		}
		seen[name] = true
	}
}

func (d *Document) checkMap(v *hujson.Value, t reflect.Type, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.AddFault(path, ReasonWrongType, "want an object")
		return
	}
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		child := joinPath(path, name)
		if seen[name] {
			d.offsets[child] = member.Name.StartOffset
			d.AddFault(child, ReasonDuplicateField, "")
		}
		seen[name] = true
		d.check(&member.Value, t.Elem(), child)
	}
}

func (d *Document) checkSlice(v *hujson.Value, t reflect.Type, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.AddFault(path, ReasonWrongType, "want an array")
		return
	}
	for i := range array.Elements {
		d.check(&array.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *Document) checkScalar(v *hujson.Value, t reflect.Type, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		d.AddFault(path, ReasonWrongType, "want a "+scalarName(t))
		return
	}
	if literal.Kind() == 'n' {
		d.AddFault(path, ReasonWrongType, "null is not allowed")
		return
	}
	if err := json.Unmarshal(literal, reflect.New(t).Interface()); err != nil {
		d.AddFault(path, ReasonWrongType, "want a "+scalarName(t))
	}
}

func scalarName(t reflect.Type) string {
	if t == reflect.TypeFor[Duration]() {
		return `duration such as "500ms"`
	}
	switch t.Kind() {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	case reflect.Float32, reflect.Float64:
		return "number"
	default:
		return "whole number"
	}
}

func structFields(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = t.Field(i).Type
		}
	}
	return fields
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// Duration is a time.Duration that is encoded as text, for example "500ms".
type Duration time.Duration

// UnmarshalText parses a duration in the syntax of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("strictjson: duration: %w", err)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText formats the duration in the syntax of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
