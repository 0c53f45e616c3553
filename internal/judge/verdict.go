// Package judge classifies failures by whether a request may have run.
package judge

import (
	"errors"
	"time"

	"github.com/joomcode/errorx"
)

// Verdict says whether a failed request may have had an effect.
//
// The zero value is MayHaveRun, so that a forgotten classification never
// claims more than is known.
type Verdict uint8

// The verdicts, from the least to the most certain.
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

// String returns the name used in headers, bodies and logs.
func (v Verdict) String() string {
	if v == NotRun {
		return notRunName
	}
	return mayHaveRunName
}

// Parse reads a verdict's name. Anything but "not_run" is MayHaveRun.
func Parse(name string) Verdict {
	if name == notRunName {
		return NotRun
	}
	return MayHaveRun
}

var (
	// Errors here are ordinary outcomes of calls, and thousands a second in an
	// overload, so that their stacks are not collected.
	namespace = errorx.NewNamespace("dragonflydoor").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	verdictProperty = errorx.RegisterPrintableProperty("verdict")
	waitProperty    = errorx.RegisterPrintableProperty("wait")

	// Unavailable reports that nothing could serve the request.
	Unavailable = namespace.NewType("unavailable")
	// Overloaded reports that work was shed to protect a target.
	Overloaded = namespace.NewType("overloaded")
	// TimedOut reports that a deadline passed.
	TimedOut = namespace.NewType("timed_out")
	// Interrupted reports that a connection broke in the middle of a request.
	Interrupted = namespace.NewType("interrupted")
	// Invalid reports input that can not be accepted.
	Invalid = namespace.NewType("invalid")
	// Conflict reports that another writer won.
	Conflict = namespace.NewType("conflict")
	// NotFound reports that the named thing does not exist.
	NotFound = namespace.NewType("not_found")
)

// Error makes an error of type t with verdict v.
func Error(t *errorx.Type, v Verdict, format string, args ...any) error {
	return t.New(format, args...).WithProperty(verdictProperty, v)
}

// Wrap adds a message and a verdict to err.
func Wrap(err error, t *errorx.Type, v Verdict, format string, args ...any) error {
	return t.Wrap(err, format, args...).WithProperty(verdictProperty, v)
}

// Of returns the verdict that err carries, MayHaveRun when it carries none.
func Of(err error) Verdict {
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

// WithWait adds to err how long it will be until the same request could be
// taken.
func WithWait(err error, d time.Duration) error {
	x := errorx.Cast(err)
	if x == nil {
		return err
	}
	return x.WithProperty(waitProperty, d)
}

// WaitOf returns how long it will be until a refused request could be taken,
// or false when that is not known.
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
