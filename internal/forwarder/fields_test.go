package forwarder

import (
	"net/url"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/gatekeeper"
)

// TestFieldsAreURLQueries checks that what nodes send each other has the form that
// other versions read and write: a query with its fields in order.
func TestFieldsAreURLQueries(t *testing.T) {
	tests := []string{
		hop{purpose: toCheck}.format(),
		hop{purpose: toGate, service: "a&b=c d", target: "[::1]:80", class: "r%", priority: 2, objective: time.Millisecond, immediate: true,
			nested: true, repeatable: true, repeat: true, abandonOverdue: true, bounded: true, fingerprint: 7, attempt: "x.1", profile: "ü"}.format(),
		report{load: gatekeeper.Load{Running: 1, Failures: 0.5}, callees: []string{"a", "b+c"}, calleeOverloaded: true}.format(),
		report{refused: true, verdict: classifier.NotRun, reason: Overloaded, wait: time.Second}.format(),
	}
	for _, s := range tests {
		v, err := url.ParseQuery(s)
		if err != nil {
			t.Fatal(err)
		}
		if v.Encode() != s {
			t.Errorf("got %q, as a query %q", s, v.Encode())
		}
		n := 0
		if !readFields(s, func(k, x string) {
			n++
			if l := v[k]; len(l) == 0 || (l[0] != x && l[len(l)-1] != x) {
				t.Errorf("field %q has the value %q, as a query %q", k, x, l)
			}
		}) || n == 0 {
			t.Errorf("%q could not be read", s)
		}
	}
	for _, s := range []string{"a=%zz", "%zz=1", "a=1&b=%"} {
		if readFields(s, func(string, string) {}) {
			t.Errorf("%q was read", s)
		}
	}
}
