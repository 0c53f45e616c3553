package measurer

import (
	"math"
	"slices"
	"time"
)

// percentile returns the p-th percentile of l by nearest rank.
func percentile(l []time.Duration, p float64) time.Duration {
	if len(l) == 0 {
		return 0
	}
	s := slices.Clone(l)
	slices.Sort(s)
	i := int(math.Ceil(p/100*float64(len(s)))) - 1
	return s[max(i, 0)]
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func micros(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}

// round keeps three decimals.
func round(v float64) float64 {
	return math.Round(v*1000) / 1000
}
