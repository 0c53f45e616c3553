// Package logger writes logs without blocking the code that logs. Lines about
// requests are rate-limited, and when the reader of the log stalls, lines are
// dropped.
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
	// linesPerSecond and burstLines limit the log lines about requests on one
	// node. A node in users' deployments handles about 50 requests per second
	// and writes one or two lines for each.
	linesPerSecond = 200
	burstLines     = 1000
	// queueLines is the capacity of the queue of lines that wait for the reader
	// of the log.
	queueLines   = 4096
	reportPeriod = 10 * time.Second
	// batchPeriod is how long lines are collected for one write: a tenth of the
	// delay that a reader of the log would notice.
	batchPeriod = 50 * time.Millisecond
)

// Lines writes rate-limited log lines about requests. Its zero value drops every
// line.
type Lines struct {
	bucket  *limiter.Bucket
	dropped atomic.Uint64
}

// NewLines returns Lines with the rate limit of one node.
func NewLines() *Lines {
	return &Lines{bucket: limiter.NewBucket(linesPerSecond, burstLines)}
}

// Info writes a structured log line, or drops and counts it if the rate limit is
// exceeded.
func (l *Lines) Info(message string, keysAndValues ...any) {
	if l == nil || l.bucket == nil || !l.bucket.Take(time.Now()) {
		if l != nil {
			l.dropped.Add(1)
		}
		return
	}
	klog.InfoSDepth(1, message, keysAndValues...)
}

// Dropped returns the number of lines dropped by the rate limit.
func (l *Lines) Dropped() uint64 {
	if l == nil {
		return 0
	}
	return l.dropped.Load()
}

// Writer queues log lines without blocking. It drops lines while the queue is
// full.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// Dropped returns the number of lines dropped because the queue was full.
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

// Start redirects the output of klog to out, which a goroutine in group writes.
// The returned function flushes the queued lines and stops the goroutine; it
// returns after timeout at the latest.
func Start(out io.Writer, verbosity int, group *grouper.Group) (*Writer, func(timeout time.Duration)) {
	w := &Writer{lines: make(chan []byte, queueLines)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	group.Go(func() {
		defer close(done)
		w.writeBatches(ctx, out)
	})
	f := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(f)
	for n, v := range map[string]string{
		"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL", "v": strconv.Itoa(verbosity),
	} {
		_ = f.Set(n, v)
	}
	klog.SetOutput(w)
	return w, func(timeout time.Duration) {
		klog.Flush()
		cancel()
		select {
		case <-done:
		case <-time.After(timeout):
		}
	}
}

func (w *Writer) writeBatches(ctx context.Context, out io.Writer) {
	lastReport := time.Now()
	var batch bytes.Buffer
	for ctx.Err() == nil {
		select {
		case b := <-w.lines:
			batch.Write(b)
			sleeper.Sleep(ctx, batchPeriod)
		case <-ctx.Done():
		}
		w.drain(&batch)
		_, _ = batch.WriteTo(out)
		if n := w.dropped.Load(); n > 0 && time.Since(lastReport) > reportPeriod {
			lastReport = time.Now()
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
