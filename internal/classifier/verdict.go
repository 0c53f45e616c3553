// Package classifier defines the error types of the system and classifies errors by
// whether the failed request may have been executed.
package classifier

import (
	"errors"
	"time"

	"github.com/joomcode/errorx"
)

// Verdict says whether a failed request may have been executed.
//
// The zero value is MayHaveRun, so that an unclassified error is treated as
// unsafe to retry.
type Verdict uint8

// The verdicts, in order of increasing certainty.
const (
	// MayHaveRun means that the request may have reached its handler.
	MayHaveRun Verdict = iota
	// NotRun means that no handler received the request, and none will.
	NotRun
)

const (
	mayHaveRunName = "may_have_run"
	notRunName     = "not_run"
)

// String returns the name used in headers, response bodies and logs.
func (v Verdict) String() string {
	if v == NotRun {
		return notRunName
	}
	return mayHaveRunName
}

// Parse returns the verdict with the given name. Any name other than "not_run"
// yields MayHaveRun.
func Parse(name string) Verdict {
	if name == notRunName {
		return NotRun
	}
	return MayHaveRun
}

var (
	// Errors are ordinary outcomes of calls and number thousands per second
	// under overload, so stack traces are not collected.
	namespace = errorx.NewNamespace("dragonflydoor").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	verdictProperty = errorx.RegisterPrintableProperty("verdict")
	waitProperty    = errorx.RegisterPrintableProperty("wait")

	// Unavailable reports that no server could handle the request.
	Unavailable = namespace.NewType("unavailable")
	// Overloaded reports that the request was rejected to protect a target from
	// overload.
	Overloaded = namespace.NewType("overloaded")
	// TimedOut reports that a deadline was exceeded.
	TimedOut = namespace.NewType("timed_out")
	// Interrupted reports that a connection failed during a request.
	Interrupted = namespace.NewType("interrupted")
	// Invalid reports unacceptable input.
	Invalid = namespace.NewType("invalid")
	// Conflict reports that a concurrent write succeeded first.
	Conflict = namespace.NewType("conflict")
	// NotFound reports that the requested object does not exist.
	NotFound = namespace.NewType("not_found")
)

// Error returns an error of type t with verdict v.
func Error(t *errorx.Type, v Verdict, format string, args ...any) error {
	return t.New(format, args...).WithProperty(verdictProperty, v)
}

// Wrap wraps err in an error of type t with a message and verdict v.
func Wrap(err error, t *errorx.Type, v Verdict, format string, args ...any) error {
	return t.Wrap(err, format, args...).WithProperty(verdictProperty, v)
}

// VerdictOf returns the verdict of err, or MayHaveRun if it has none.
func VerdictOf(err error) Verdict {
	var x *errorx.Error
	if !errors.As(err, &x) {
		return MayHaveRun
	}
	p, ok := x.Property(verdictProperty)
	if !ok {
		return MayHaveRun
	}
	v, ok := p.(Verdict)
	if !ok {
		return MayHaveRun
	}
	return v
}

// Is reports whether err is of type t.
func Is(err error, t *errorx.Type) bool {
	return errorx.IsOfType(err, t)
}

// WithWait attaches to err the duration after which the same request could be
// accepted.
func WithWait(err error, d time.Duration) error {
	x := errorx.Cast(err)
	if x == nil {
		return err
	}
	return x.WithProperty(waitProperty, d)
}

// WaitOf returns the duration after which a rejected request could be accepted,
// or false if it is unknown.
func WaitOf(err error) (time.Duration, bool) {
	var x *errorx.Error
	if !errors.As(err, &x) {
		return 0, false
	}
	p, ok := x.Property(waitProperty)
	if !ok {
		return 0, false
	}
	d, ok := p.(time.Duration)
	return d, ok
}
