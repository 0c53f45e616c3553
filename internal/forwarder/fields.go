package forwarder

import (
	"net/url"
	"strings"
)

// fieldWriter writes fields in the form of a URL query, without the map that url.Values
// needs: two of them are written and read for each call between nodes. Its zero value
// is ready to use. Fields are added in the order of their names.
type fieldWriter struct {
	builder strings.Builder
}

func (w *fieldWriter) add(name, value string) {
	if w.builder.Len() > 0 {
		w.builder.WriteByte('&')
	}
	w.builder.WriteString(name)
	w.builder.WriteByte('=')
	w.builder.WriteString(url.QueryEscape(value))
}

// addText adds a field unless its value is empty.
func (w *fieldWriter) addText(name, value string) {
	if value != "" {
		w.add(name, value)
	}
}

// addFlag adds a field if set is true.
func (w *fieldWriter) addFlag(name string, set bool) {
	if set {
		w.add(name, "1")
	}
}

func (w *fieldWriter) String() string { return w.builder.String() }

// readFields calls read with each field of s. It returns false if s is malformed.
func readFields(s string, read func(name, value string)) bool {
	for s != "" {
		var f string
		f, s, _ = strings.Cut(s, "&")
		if f == "" {
			continue
		}
		n, v, _ := strings.Cut(f, "=")
		n, err := url.QueryUnescape(n)
		if err != nil {
			return false
		}
		if v, err = url.QueryUnescape(v); err != nil {
			return false
		}
		read(n, v)
	}
	return true
}
