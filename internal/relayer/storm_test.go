package relayer

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

// stormyStore is a store whose document changes every period for a while.
type stormyStore struct {
	storer.Store

	begun   time.Time
	period  time.Duration
	changes int
	watches int
}

// version returns the number of changes so far, and the time until the next one.
func (s *stormyStore) version() (int, time.Duration) {
	d := time.Since(s.begun)
	n := int(d / s.period)
	if n >= s.changes {
		return s.changes, time.Hour
	}
	return n, time.Duration(n+1)*s.period - d
}

func (s *stormyStore) value() storer.Value {
	n, _ := s.version()
	return storer.Value{Data: []byte(strconv.Itoa(n + 1)), Revision: uint64(n + 1)}
}

func (s *stormyStore) Get(context.Context, string) (storer.Value, error) { return s.value(), nil }

func (s *stormyStore) Watch(ctx context.Context, _ string, held storer.Value, wait time.Duration) (storer.Value, bool, error) {
	s.watches++
	if v := s.value(); v.Revision > held.Revision {
		return v, true, nil
	}
	_, next := s.version()
	select {
	case <-time.After(min(next, wait)):
	case <-ctx.Done():
		return held, false, ctx.Err()
	}
	v := s.value()
	return v, v.Revision > held.Revision, nil
}

// TestStormOfChangesIsReadTogether replays configurations that come every 50 ms for five
// seconds. A relay must not call the store for each of them, and must hold the last one
// soon after it was written.
func TestStormOfChangesIsReadTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const changes, bound = 100, 500 * time.Millisecond
		s := &stormyStore{begun: time.Now(), period: 50 * time.Millisecond, changes: changes}
		var h holder.Holder
		d := &Document{Key: "d", Decode: func(b []byte) (uint64, router.Profile, error) {
			n, err := strconv.ParseUint(string(b), 10, 64)
			return n, router.Profile{Name: "p", Description: string(b)}, err
		}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go New(s, &h, nil, 1, d).watch(ctx)
		time.Sleep(changes*s.period + bound)
		synctest.Wait()
		if g := h.Current().Generation(); g != changes+1 {
			t.Errorf("generation %d is held %s after the last change, expected %d", g, bound, changes+1)
		}
		if s.watches > changes/2 {
			t.Errorf("%d calls for %d changes", s.watches, changes)
		}
	})
}
