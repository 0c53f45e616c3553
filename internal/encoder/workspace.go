package encoder

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/dragonflydoor/dragonflydoor/internal/parser"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
	"github.com/dragonflydoor/dragonflydoor/internal/validator"
)

// keyDigestRule describes a valid entry of key_digests.
const keyDigestRule = "the SHA-256 of an API key in hexadecimal"

// workspaceJSON is the canonical form of a workspace. It holds no keys.
type workspaceJSON struct {
	Name       string   `json:"name"`
	KeyDigests []string `json:"key_digests,omitempty"`
	Priority   int      `json:"priority,omitempty"`
	Rate       float64  `json:"rate,omitempty"`
	Burst      float64  `json:"burst,omitempty"`
}

func workspaceFromObject(o *parser.Object) router.Workspace {
	w := router.Workspace{
		Name:       o.Required("name", validator.WorkspaceNameRule),
		KeyDigests: keyDigestsFromObject(o),
		Priority:   int(o.Number("priority", 0, 0, maxPriority)),
		Rate:       o.Fraction("rate", 0, 0, validator.MaxRate),
		Burst:      o.Fraction("burst", 0, 0, validator.MaxRate),
	}
	// An unknown field may hold a key.
	o.CloseSecret()
	return w
}

// keyDigestsFromObject reads the digests of a workspace's keys. Problems do not repeat
// the value, which may be a key that was entered in place of its digest.
func keyDigestsFromObject(o *parser.Object) []router.KeyDigest {
	var l []router.KeyDigest
	for _, s := range o.Secrets("key_digests", keyDigestRule, isKeyDigest) {
		var d router.KeyDigest
		_, _ = hex.Decode(d[:], []byte(s))
		l = append(l, d)
	}
	return l
}

func isKeyDigest(s string) bool {
	_, err := hex.DecodeString(s)
	return err == nil && len(s) == hex.EncodedLen(sha256.Size)
}

func workspaceToJSON(w router.Workspace) workspaceJSON {
	j := workspaceJSON{Name: w.Name, Priority: w.Priority, Rate: w.Rate, Burst: w.Burst}
	for _, d := range w.KeyDigests {
		j.KeyDigests = append(j.KeyDigests, hex.EncodeToString(d[:]))
	}
	return j
}

func digestWorkspace(w router.Workspace) Digest {
	return sha256.Sum256(mustMarshal(workspaceToJSON(w)))
}

func workspaceName(w router.Workspace) string { return w.Name }
