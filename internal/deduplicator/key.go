package deduplicator

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
)

const (
	uuidLength  = 36
	uuidVersion = 7
	// maxTimestampAhead is how far in the future the timestamp of a key may be.
	maxTimestampAhead = time.Hour
)

// timestamp returns the timestamp of a UUID of version 7 (RFC 9562, section 5.7), if
// key is one.
func timestamp(key string, now time.Time) (time.Time, bool) {
	if len(key) != uuidLength {
		return time.Time{}, false
	}
	b, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(b) != 16 || b[6]>>4 != uuidVersion {
		return time.Time{}, false
	}
	var ms int64
	for _, c := range b[:6] {
		ms = ms<<8 | int64(c)
	}
	m := time.UnixMilli(ms)
	// A timestamp further ahead than maxTimestampAhead is not trusted.
	return m, m.Before(now.Add(maxTimestampAhead))
}

// Home returns the home of a key among the nodes of a service, and the time since
// which it has been the home: when the last node with a higher rank for the key
// ceased to be a home.
func Home(v *gossiper.View, service, key string) (gossiper.Member, time.Time, bool) {
	var h gossiper.Member
	var best uint64
	for _, m := range v.Homes(service) {
		if r := rank(m.Node, key); h.Node == "" || r > best {
			h = m
			best = r
		}
	}
	if h.Node == "" {
		return h, time.Time{}, false
	}
	var s time.Time
	for n, t := range v.LostHomes(service) {
		if rank(n, key) > best && t.After(s) {
			s = t
		}
	}
	return h, s, true
}

func rank(node, key string) uint64 {
	return gossiper.HashNode(node + "\x00" + key)
}
