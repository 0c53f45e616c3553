package parser

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

const (
	rootPath       = "document"
	maxValueLength = 80
	maxDepth       = 32
)

// Document parses data, which must be a single JSON object. The returned report
// has any syntax errors and duplicate fields.
func Document(data []byte) (*Object, *Report) {
	r := &Report{}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	t := tree{decoder: d, report: r}
	v, err := t.value("", 0)
	if err == nil {
		err = t.end()
	}
	if err != nil {
		r.Add(rootPath, fmt.Sprintf("byte %d", d.InputOffset()), "valid JSON, got "+syntaxMessage(err))
		return newObject("", nil, r), r
	}
	m, ok := v.(map[string]any)
	if !ok {
		r.Add(rootPath, v, "a JSON object")
	}
	return newObject("", m, r), r
}

func syntaxMessage(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "a document that ends too early"
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}

// tree builds values from JSON tokens, because json.Unmarshal does not detect
// duplicate fields.
type tree struct {
	decoder *json.Decoder
	report  *Report
}

func (t tree) value(path string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("nesting deeper than %d", maxDepth)
	}
	k, err := t.decoder.Token()
	if err != nil {
		return nil, err
	}
	switch k {
	case json.Delim('{'):
		return t.object(path, depth)
	case json.Delim('['):
		return t.list(path, depth)
	}
	return k, nil
}

func (t tree) object(path string, depth int) (any, error) {
	m := make(map[string]any)
	for t.decoder.More() {
		k, err := t.decoder.Token()
		if err != nil {
			return nil, err
		}
		n, _ := k.(string)
		p := joinPath(path, n)
		v, err := t.value(p, depth+1)
		if err != nil {
			return nil, err
		}
		if _, ok := m[n]; ok {
			t.report.Add(p, v, "the field only once")
		}
		m[n] = v
	}
	_, err := t.decoder.Token()
	return m, err
}

func (t tree) list(path string, depth int) (any, error) {
	l := make([]any, 0)
	for t.decoder.More() {
		v, err := t.value(indexPath(path, len(l)), depth+1)
		if err != nil {
			return nil, err
		}
		l = append(l, v)
	}
	_, err := t.decoder.Token()
	return l, err
}

func (t tree) end() error {
	_, err := t.decoder.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return err
	}
	return errors.New("text after the document")
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func indexPath(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}

func formatValue(value any) string {
	if value == nil {
		return ""
	}
	b, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	if len(b) > maxValueLength {
		return string(b[:maxValueLength]) + "..."
	}
	return string(b)
}
