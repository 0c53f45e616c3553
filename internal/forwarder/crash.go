package forwarder

import (
	"context"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

const (
	crashChecks      = 4
	crashCheckPause  = 20 * time.Millisecond
	crashDialTimeout = 100 * time.Millisecond
)

var (
	// errCrashed reports that a target crashed while it ran a request.
	errCrashed = classifier.Interrupted.NewSubtype("crashed")
	// errQuarantined reports a request that is refused because equal requests have
	// crashed targets.
	errQuarantined = classifier.Unavailable.NewSubtype("quarantined")
)

func quarantined() error {
	return classifier.Error(errQuarantined, classifier.NotRun, "equal requests have crashed targets")
}

// CrashTracker tracks the requests that crash targets across the whole mesh.
type CrashTracker interface {
	// Blocked reports whether equal requests are refused.
	Blocked(quarantiner.Fingerprint) bool
	// Suspected reports whether there are strikes against equal requests.
	Suspected(quarantiner.Fingerprint) bool
	// Strike distributes a strike to the mesh, first to the gates of the service.
	Strike(service string, s quarantiner.Strike)
}

// crashed reports whether nothing listens at a target's address any more. A target
// that has only broken one connection still listens and keeps its other connections
// open.
func (g *Gate) crashed(ctx context.Context, target string) bool {
	for range crashChecks {
		if !sleeper.Sleep(ctx, crashCheckPause) || g.client.Alive(target) {
			return false
		}
		c, err := (&net.Dialer{Timeout: crashDialTimeout}).DialContext(ctx, "tcp", target)
		if err != nil {
			var o *net.OpError
			return errors.As(err, &o) && !o.Timeout() && ctx.Err() == nil
		}
		_ = c.Close()
	}
	return false
}

// crashID identifies one crash: it is the same for all reports of the end of a target
// that was announced at a given time.
func crashID(target string, announced time.Time) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, target)
	_ = binary.Write(h, binary.LittleEndian, announced.UnixNano())
	return h.Sum64()
}

// unknownFingerprint is that of calls which carry no fingerprint.
const unknownFingerprint quarantiner.Fingerprint = 0

// computeFingerprint hashes the properties that define equal requests: service,
// method, path and query, originating service, and body. Of a body that is too large to
// be kept it hashes the kept part: the rest is not known before the request is sent, and
// the length only if the caller states it.
func (j *job) computeFingerprint(origin string) quarantiner.Fingerprint {
	h := fnv.New64a()
	r := j.request
	add(h, j.service.Name, r.Method, r.URL.RequestURI(), origin)
	_, _ = h.Write(j.body.kept)
	return quarantiner.Fingerprint(h.Sum64())
}

// add hashes parts with a separator, so that differently split parts differ.
func add(w io.Writer, parts ...string) {
	for _, p := range parts {
		_, _ = io.WriteString(w, p)
		_, _ = w.Write([]byte{0})
	}
}

func formatFingerprint(f quarantiner.Fingerprint) string {
	return strconv.FormatUint(uint64(f), 16)
}

func parseFingerprint(s string) quarantiner.Fingerprint {
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return unknownFingerprint
	}
	return quarantiner.Fingerprint(n)
}
