package authenticator

import (
	"crypto/sha256"
	"strings"

	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// maxKeyBytes limits the length of a key. Longer ones are not hashed.
const maxKeyBytes = 1 << 10

// ParseKey returns the digest of the key in the values of the Authorization header
// (RFC 9110, section 11.6.2): one value with the scheme in any case, one or more spaces,
// and the key as token68. The header is no list, so that two values are malformed.
func ParseKey(values []string, scheme string) (router.KeyDigest, bool) {
	if len(values) != 1 {
		return router.KeyDigest{}, false
	}
	s, k, ok := strings.Cut(strings.Trim(values[0], " \t"), " ")
	if !ok || !strings.EqualFold(s, scheme) {
		return router.KeyDigest{}, false
	}
	k = strings.TrimLeft(k, " ")
	if len(k) > maxKeyBytes || !isToken68(k) {
		return router.KeyDigest{}, false
	}
	return sha256.Sum256([]byte(k)), true
}

// isToken68 reports whether s has the form of token68 (RFC 9110, section 11.2).
func isToken68(s string) bool {
	s = strings.TrimRight(s, "=")
	if s == "" {
		return false
	}
	for i := range len(s) {
		if !isToken68Byte(s[i]) {
			return false
		}
	}
	return true
}

func isToken68Byte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return strings.IndexByte("-._~+/", c) >= 0
}
