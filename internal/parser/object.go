package parser

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"
)

// Object reads the fields of one JSON object. Reading a field marks it as known;
// Close reports all unknown fields.
type Object struct {
	path   string
	fields map[string]any
	known  []string
	report *Report
}

func newObject(path string, fields map[string]any, r *Report) *Object {
	return &Object{path: path, fields: fields, report: r}
}

// Path returns the path of field name within the document.
func (o *Object) Path(name string) string {
	return joinPath(o.path, name)
}

// Reject reports a problem with the value of field name.
func (o *Object) Reject(name, expected string) {
	o.report.Add(o.Path(name), o.fields[name], expected)
}

// Has reports whether field name is present.
func (o *Object) Has(name string) bool {
	_, ok := o.fields[name]
	return ok
}

func (o *Object) readField(name string) any {
	o.known = append(o.known, name)
	return o.fields[name]
}

// Text reads a string, empty if the field is missing.
func (o *Object) Text(name string) string {
	v := o.readField(name)
	if v == nil {
		return ""
	}
	s, ok := v.(string)
	if !ok {
		o.Reject(name, "a string")
	}
	return s
}

// Required reads a string that must not be empty.
func (o *Object) Required(name, expected string) string {
	s := o.Text(name)
	_, ok := o.fields[name].(string)
	if s == "" && (ok || !o.Has(name)) {
		o.Reject(name, expected)
	}
	return s
}

// Flag reads a boolean, false if the field is missing.
func (o *Object) Flag(name string) bool {
	v := o.readField(name)
	if v == nil {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		o.Reject(name, "true or false")
	}
	return b
}

// Number reads an integer from low to high. It returns fallback if the field is
// missing or not valid.
func (o *Object) Number(name string, fallback, low, high int64) int64 {
	v := o.readField(name)
	if v == nil {
		return fallback
	}
	e := fmt.Sprintf("a whole number from %d to %d", low, high)
	n, ok := v.(json.Number)
	if !ok {
		o.Reject(name, e)
		return fallback
	}
	i, err := n.Int64()
	if err != nil || i < low || i > high {
		o.Reject(name, e)
		return fallback
	}
	return i
}

// Fraction reads a number from low to high. It returns fallback if the field is missing or
// not valid.
func (o *Object) Fraction(name string, fallback, low, high float64) float64 {
	v := o.readField(name)
	if v == nil {
		return fallback
	}
	n, ok := v.(json.Number)
	f, err := n.Float64()
	if !ok || err != nil || f < low || f > high {
		o.Reject(name, fmt.Sprintf("a number from %g to %g", low, high))
		return fallback
	}
	return f
}

// Duration reads a duration from low to high, such as "250ms". It returns fallback
// if the field is missing or not valid.
func (o *Object) Duration(name string, fallback, low, high time.Duration) time.Duration {
	v := o.readField(name)
	if v == nil {
		return fallback
	}
	e := fmt.Sprintf("a duration from %s to %s, such as %q", low, high, "250ms")
	s, ok := v.(string)
	if !ok {
		o.Reject(name, e)
		return fallback
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < low || d > high {
		o.Reject(name, e)
		return fallback
	}
	return d
}

// Texts reads a list of strings and checks each with valid, unless that is nil.
func (o *Object) Texts(name, expected string, valid func(string) bool) []string {
	l := o.list(name)
	r := make([]string, 0, len(l))
	for i, v := range l {
		s, ok := v.(string)
		if !ok || (valid != nil && !valid(s)) {
			o.report.Add(indexPath(o.Path(name), i), v, expected)
			continue
		}
		r = append(r, s)
	}
	if len(r) == 0 {
		return nil
	}
	return r
}

// Secrets reads a list of strings like Texts. Problems do not repeat their values.
func (o *Object) Secrets(name, expected string, valid func(string) bool) []string {
	var l []string
	for i, v := range o.list(name) {
		s, ok := v.(string)
		if !ok || !valid(s) {
			o.report.Add(indexPath(o.Path(name), i), Hidden, expected)
			continue
		}
		l = append(l, s)
	}
	return l
}

// Objects reads a list of objects.
func (o *Object) Objects(name string) []*Object {
	l := o.list(name)
	r := make([]*Object, 0, len(l))
	for i, v := range l {
		p := indexPath(o.Path(name), i)
		m, ok := v.(map[string]any)
		if !ok {
			o.report.Add(p, v, "an object")
			continue
		}
		r = append(r, newObject(p, m, o.report))
	}
	return r
}

// Object reads a nested object, empty if the field is missing.
func (o *Object) Object(name string) *Object {
	v := o.readField(name)
	m, ok := v.(map[string]any)
	if v != nil && !ok {
		o.Reject(name, "an object")
	}
	return newObject(o.Path(name), m, o.report)
}

func (o *Object) list(name string) []any {
	v := o.readField(name)
	if v == nil {
		return nil
	}
	l, ok := v.([]any)
	if !ok {
		o.Reject(name, "a list")
	}
	return l
}

// Close reports every field that has not been read.
func (o *Object) Close() {
	o.close(rawNull)
}

// CloseSecret reports every field that has not been read, without its value.
func (o *Object) CloseSecret() {
	o.close(func(any) any { return Hidden })
}

func (o *Object) close(format func(any) any) {
	for n, v := range o.fields {
		if !contains(o.known, n) {
			o.report.Add(o.Path(n), format(v), "one of the fields "+fieldList(o.known))
		}
	}
}

func rawNull(v any) any {
	if v == nil {
		return json.RawMessage("null")
	}
	return v
}

func fieldList(names []string) string {
	l := append([]string(nil), names...)
	sort.Strings(l)
	return strings.Join(l, ", ")
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
