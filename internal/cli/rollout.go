package cli

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/messenger"
)

type rolloutJSON struct {
	Service string `json:"service"`
	Version string `json:"version"`
	State   string `json:"state"`
	// SharePermille is the part of the requests for the new version; 0 means that they go
	// there by grants.
	SharePermille uint32 `json:"share_permille"`
	Requests      uint64 `json:"requests"`
	Exposed       uint64 `json:"exposed"`
	// Evidence and Support are the logarithms of the odds against and for the version.
	Evidence uint32 `json:"evidence"`
	Support  uint32 `json:"support"`
	Revision uint64 `json:"revision"`
	AgeMS    uint32 `json:"age_ms"`
}

func writeRollouts(m map[string]*messenger.Rollout) []rolloutJSON {
	var l []rolloutJSON
	for _, n := range slices.Sorted(maps.Keys(m)) {
		r := m[n]
		l = append(l, rolloutJSON{
			Service: n, Version: r.GetVersion(), State: r.GetState(), SharePermille: r.GetSharePermille(),
			Requests: r.GetRequests(), Exposed: r.GetExposed(), Evidence: r.GetEvidence(), Support: r.GetSupport(),
			Revision: r.GetRevision(), AgeMS: r.GetAgeMs(),
		})
	}
	return l
}

// verdict names what the evidence says; the bounds are those of the evaluator.
func (r rolloutJSON) verdict() string {
	const worse, good = 12, 5
	switch {
	case r.Evidence >= worse:
		return "worse"
	case r.Evidence >= worse/2:
		return "doubtful"
	case r.Support >= good:
		return "good"
	}
	return "open"
}

func (r rolloutJSON) text() string {
	share := "by grants"
	if r.SharePermille > 0 {
		share = fmt.Sprintf("%d%%", r.SharePermille/10)
	}
	return fmt.Sprintf("roll-out of %s to %s: %s after %s, share %s, %d of %d requests, %s (evidence %d, support %d)",
		r.Service, r.Version, r.State, (time.Duration(r.AgeMS) * time.Millisecond).Round(time.Second), share,
		r.Exposed, r.Requests, r.verdict(), r.Evidence, r.Support)
}
