package encoder

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// largeProfile returns a profile with 1100 services and 1100 routes.
func largeProfile() router.Profile {
	p := router.Profile{Name: "large"}
	for i := range 1100 {
		n := fmt.Sprintf("service-%04d", i)
		p.Services = append(p.Services, router.Service{
			Name: n, Timeout: time.Second,
			Retry:     router.RetryPolicy{MaxAttempts: 2, BudgetPercent: 20},
			Limits:    router.Limits{Slots: 12, Connections: 110, Queue: 24, MaxBodyBytes: 1 << 20},
			KeyWindow: 2 * time.Minute,
		})
		p.Routes = append(p.Routes, router.Route{
			Name: fmt.Sprintf("route-%04d", i), PathPrefix: "/" + n,
			Destinations: []router.Destination{{Service: n, Weight: 1}},
		})
	}
	return p
}

func BenchmarkPatchOneService(b *testing.B) {
	s := HashProfile(largeProfile())
	v := s.Profile.Services[7]
	v.Timeout = 2 * time.Second
	t := HashProfile(s.Profile.WithService(v))
	d := EncodeDelta(Diff(s, t))
	for b.Loop() {
		if _, err := s.Patch(d, t.Digest); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkVerifyWhole(b *testing.B) {
	s := HashProfile(largeProfile())
	body := EncodeProfile(s.Profile)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if _, err := DecodeVerified(body, s.Digest); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCompileTable(b *testing.B) {
	p := largeProfile()
	for b.Loop() {
		router.NewTable(p)
	}
}
