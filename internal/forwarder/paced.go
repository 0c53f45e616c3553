package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/pacer"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

// pacedWriter writes an answer at the rate of a link, after the answers that reserved
// the link before it. A stalled reader delays only its own answer.
type pacedWriter struct {
	http.ResponseWriter

	ctx  context.Context //nolint:containedctx // used for one answer only
	link *pacer.Uplink
}

// Write implements io.Writer.
func (w *pacedWriter) Write(p []byte) (int, error) {
	now := time.Now()
	begin := now.Add(w.link.Claim(len(p), now))
	sent := 0
	for sent < len(p) {
		if !sleeper.Sleep(w.ctx, time.Until(begin.Add(w.link.Duration(float64(sent))))) {
			return sent, context.Cause(w.ctx)
		}
		n, err := w.ResponseWriter.Write(p[sent:min(len(p), sent+pacer.SmallAnswer)])
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *pacedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// pace returns a writer that paces an answer of size bytes to w if it is large. A size
// of -1 means that it is unknown.
func (g *Gate) pace(ctx context.Context, w http.ResponseWriter, size int64) http.ResponseWriter {
	if !g.uplink.Paces(size) {
		return w
	}
	return &pacedWriter{ResponseWriter: w, ctx: ctx, link: &g.uplink}
}
