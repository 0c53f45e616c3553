// Package logger keeps logging from slowing down what is logged: lines about
// requests are bounded in rate, and a reader that stalls costs lines, not time.
package logger

import (
	"bytes"
	"context"
	"flag"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/limiter"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

const (
	// linesPerSecond and lineBurst bound the lines about requests of one node.
	// A node of the users' deployments takes about 50 requests a second, and
	// writes one or two lines for each.
	linesPerSecond = 200
	lineBurst      = 1000
	// queuedLines is how many lines may wait for the reader of the log.
	queuedLines  = 4096
	reportPeriod = 10 * time.Second
	// gatherPeriod is how long lines are gathered into one write: a tenth of what
	// a reader of the log would notice.
	gatherPeriod = 50 * time.Millisecond
)

// Lines writes bounded lines about requests. Its zero value writes nothing.
type Lines struct {
	bucket  *limiter.Bucket
	dropped atomic.Uint64
}

// NewLines returns lines within the bounds of a node.
func NewLines() *Lines {
	return &Lines{bucket: limiter.NewBucket(linesPerSecond, lineBurst)}
}

// Info writes a structured line, or counts it as dropped.
func (l *Lines) Info(message string, keysAndValues ...any) {
	if l == nil || l.bucket == nil || !l.bucket.Take(time.Now()) {
		if l != nil {
			l.dropped.Add(1)
		}
		return
	}
	klog.InfoSDepth(1, message, keysAndValues...)
}

// Dropped returns how many lines were not written for the rate.
func (l *Lines) Dropped() uint64 {
	if l == nil {
		return 0
	}
	return l.dropped.Load()
}

// Writer passes lines on without ever waiting for their reader.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// Dropped returns how many lines found no room.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

// Write implements io.Writer.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(p):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Start sends all lines of klog to out, from a loop in group. The returned
// function ends the loop once the lines so far are written, or after bound.
func Start(out io.Writer, verbosity int, group *grouper.Group) (*Writer, func(bound time.Duration)) {
	w := &Writer{lines: make(chan []byte, queuedLines)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	group.Go(func() {
		defer close(done)
		w.pass(ctx, out)
	})
	f := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(f)
	for n, v := range map[string]string{
		"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL", "v": strconv.Itoa(verbosity),
	} {
		_ = f.Set(n, v)
	}
	klog.SetOutput(w)
	return w, func(bound time.Duration) {
		klog.Flush()
		cancel()
		select {
		case <-done:
		case <-time.After(bound):
		}
	}
}

func (w *Writer) pass(ctx context.Context, out io.Writer) {
	reported := time.Now()
	var block bytes.Buffer
	for ctx.Err() == nil {
		select {
		case b := <-w.lines:
			block.Write(b)
			sleeper.Sleep(ctx, gatherPeriod)
		case <-ctx.Done():
		}
		w.drain(&block)
		_, _ = block.WriteTo(out)
		if n := w.dropped.Load(); n > 0 && time.Since(reported) > reportPeriod {
			reported = time.Now()
			klog.InfoS("Log lines were dropped", "total", n)
		}
	}
}

func (w *Writer) drain(out io.Writer) {
	for {
		select {
		case b := <-w.lines:
			_, _ = out.Write(b)
		default:
			return
		}
	}
}
