package syncer

import (
	"bytes"
	"compress/gzip"
	"strings"
	"testing"
)

func TestCompressRoundTrip(t *testing.T) {
	tests := []struct {
		name    string
		data    []byte
		shorter bool
	}{
		{"empty", nil, false},
		{"short", []byte(`{"name":"p"}`), false},
		{"routes", []byte(strings.Repeat(`{"name":"r1","path_prefix":"/lepu270/"}`, 1600)), true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			z := compress(c.data)
			if len(z) < len(c.data) != c.shorter {
				t.Errorf("%d bytes became %d", len(c.data), len(z))
			}
			if b, err := decompress(z); err != nil || !bytes.Equal(b, c.data) {
				t.Errorf("got %d bytes, %v", len(b), err)
			}
		})
	}
}

func TestDecompressRefusesInvalidData(t *testing.T) {
	var bomb bytes.Buffer
	w := gzip.NewWriter(&bomb)
	_, _ = w.Write(make([]byte, maxBodyBytes+1))
	_ = w.Close()
	valid := compress(bytes.Repeat([]byte("route "), 1000))
	tests := []struct {
		name string
		data []byte
	}{
		{"too large", bomb.Bytes()},
		{"only the magic number", gzipMagic},
		{"truncated stream", valid[:len(valid)/2]},
		{"wrong trailer", append(bytes.Clone(valid[:len(valid)-5]), 0, 0, 0, 0, 0)},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			if b, err := decompress(c.data); err == nil {
				t.Errorf("got %d bytes", len(b))
			}
		})
	}
}
