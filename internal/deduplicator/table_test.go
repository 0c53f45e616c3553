package deduplicator

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
)

var start = time.UnixMilli(1_800_000_000_000)

// uuid returns a UUID of version 7 with the timestamp m.
func uuid(m time.Time) string {
	t := uint64(m.UnixMilli())
	return fmt.Sprintf("%08x-%04x-7abc-8abc-0123456789ab", t>>16, t&0xffff)
}

func use(key string, since time.Time) Use {
	return Use{Key: "s\x00" + key, CallerKey: key, RequestHash: 1, HomeSince: since, Window: time.Minute}
}

func TestKeyIsNewOnlyIfCertain(t *testing.T) {
	tests := []struct {
		name string
		key  string
		// age is how long the node has been the key's home.
		age  time.Duration
		want KeyState
	}{
		{"opaque key, old home", "k", 2 * time.Minute, First},
		{"opaque key, new home", "k", 30 * time.Second, Uncertain},
		{"recent key, new home", uuid(start), 5 * time.Second, First},
		{"key as old as the home", uuid(start), 3 * time.Second, Uncertain},
		{"key older than the window", uuid(start.Add(-2 * time.Minute)), time.Hour, Uncertain},
		{"key with a time far ahead counts as opaque", uuid(start.Add(1000 * time.Hour)), 30 * time.Second, Uncertain},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var b Table[int]
			if _, s := b.Begin(use(c.key, start.Add(-c.age)), start); s != c.want {
				t.Errorf("got %d, want %d", s, c.want)
			}
		})
	}
}

func TestKeyStates(t *testing.T) {
	var b Table[int]
	u := use("k", start.Add(-time.Hour))
	c, s := b.Begin(u, start)
	if s != First {
		t.Fatal(s)
	}
	if _, s := b.Begin(u, start); s != Running {
		t.Errorf("while the request runs: got %d", s)
	}
	o := u
	o.RequestHash = 2
	if _, s := b.Begin(o, start); s != Mismatch {
		t.Errorf("with another request: got %d", s)
	}
	b.End(u, c, 42, nil, start)
	d, s := b.Begin(u, start.Add(30*time.Second))
	if v, err := d.Outcome(); s != Done || v != 42 || err != nil {
		t.Errorf("after a resend: got %d, %d, %v", s, v, err)
	}
}

func TestKeyIsFreeIfNotRun(t *testing.T) {
	var b Table[int]
	u := use("k", start.Add(-time.Hour))
	c, _ := b.Begin(u, start)
	b.End(u, c, 0, classifier.Error(classifier.Overloaded, classifier.NotRun, "shed"), start)
	if _, s := b.Begin(u, start); s != First {
		t.Errorf("after a request that has not run: got %d", s)
	}
}

func TestKeyIsKeptIfMayHaveRun(t *testing.T) {
	var b Table[int]
	u := use("k", start.Add(-time.Hour))
	c, _ := b.Begin(u, start)
	b.End(u, c, 0, errors.New("broken"), start)
	d, s := b.Begin(u, start.Add(time.Second))
	if _, err := d.Outcome(); s != Done || err == nil {
		t.Errorf("after a request that may have run: got %d, %v", s, err)
	}
}
