package forwarder

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gatekeeper"
	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
)

// purpose is the kind of a request from one node to another.
type purpose string

const (
	// toGate sends a call to a target beside the other node.
	toGate purpose = "gate"
	// toHome forwards a request to the home node of its idempotency key.
	toHome purpose = "home"
	// toSettle asks whether an attempt may have run, and cancels it if it has not.
	toSettle purpose = "settle"
	// toCheck checks whether the node is reachable.
	toCheck purpose = "check"
)

// hop is the metadata of a call that a node sends to another one in HopHeader.
type hop struct {
	purpose    purpose
	service    string
	target     string
	profile    string
	attempt    string
	class      string
	priority   int
	objective  time.Duration
	immediate  bool
	nested     bool
	repeatable bool
	repeat     bool
	// abandonOverdue means that the request is abandoned and retried if its answer is overdue.
	abandonOverdue bool
	// bounded means that the deadline applies to the whole answer, not only its start.
	bounded     bool
	fingerprint quarantiner.Fingerprint
}

// Field names are short because they are sent with every call.
const (
	purposeField        = "p"
	serviceField        = "s"
	targetField         = "t"
	profileField        = "f"
	attemptField        = "a"
	classField          = "c"
	priorityField       = "r"
	objectiveField      = "o"
	immediateField      = "i"
	nestedField         = "n"
	repeatableField     = "m"
	repeatField         = "g"
	abandonOverdueField = "b"
	boundedField        = "y"
	fingerprintField    = "h"
)

func (h hop) format() string {
	v := url.Values{purposeField: {string(h.purpose)}}
	for n, s := range map[string]string{
		serviceField: h.service, targetField: h.target, profileField: h.profile,
		attemptField: h.attempt, classField: h.class,
	} {
		if s != "" {
			v.Set(n, s)
		}
	}
	for n, b := range map[string]bool{immediateField: h.immediate, nestedField: h.nested, repeatableField: h.repeatable, repeatField: h.repeat, abandonOverdueField: h.abandonOverdue, boundedField: h.bounded} {
		if b {
			v.Set(n, "1")
		}
	}
	if h.priority != 0 {
		v.Set(priorityField, strconv.Itoa(h.priority))
	}
	if h.objective != 0 {
		v.Set(objectiveField, formatMicros(h.objective))
	}
	if h.fingerprint != unknownFingerprint {
		v.Set(fingerprintField, formatFingerprint(h.fingerprint))
	}
	return v.Encode()
}

func parseHop(s string) (hop, bool) {
	v, err := url.ParseQuery(s)
	if err != nil {
		return hop{}, false
	}
	h := hop{
		purpose:        purpose(v.Get(purposeField)),
		service:        v.Get(serviceField),
		target:         v.Get(targetField),
		profile:        v.Get(profileField),
		attempt:        v.Get(attemptField),
		class:          v.Get(classField),
		objective:      parseMicros(v.Get(objectiveField)),
		immediate:      v.Has(immediateField),
		nested:         v.Has(nestedField),
		repeatable:     v.Has(repeatableField),
		repeat:         v.Has(repeatField),
		abandonOverdue: v.Has(abandonOverdueField),
		bounded:        v.Has(boundedField),
		fingerprint:    parseFingerprint(v.Get(fingerprintField)),
	}
	h.priority, _ = strconv.Atoi(v.Get(priorityField))
	switch h.purpose {
	case toGate, toHome, toSettle, toCheck:
		return h, true
	}
	return hop{}, false
}

// ForHome reports whether a call from another node is addressed to the home node of
// its idempotency key.
func ForHome(h http.Header) bool {
	p, ok := parseHop(h.Get(HopHeader))
	return ok && p.purpose == toHome
}

// report is the metadata that a gate sends with an answer in HopHeader.
type report struct {
	// refused means that the gate, not the target, produced the answer.
	refused bool
	verdict judge.Verdict
	reason  Reason
	wait    time.Duration
	// message describes the reason and is sent as the body of the answer.
	message string
	load    gatekeeper.Load
	// callees are the services that the target calls for requests of the class.
	callees []string
	// calleeOverloaded means that the target failed after a call that it made for the
	// request was refused because of overload.
	calleeOverloaded bool
}

const (
	verdictField          = "v"
	reasonField           = "e"
	waitField             = "w"
	runningField          = "u"
	waitingField          = "q"
	slotsField            = "l"
	durationField         = "d"
	failuresField         = "x"
	calleeField           = "k"
	calleeOverloadedField = "z"

	permille = 1000
)

func (r report) format() string {
	v := url.Values{
		runningField:  {strconv.Itoa(r.load.Running)},
		waitingField:  {strconv.Itoa(r.load.Waiting)},
		slotsField:    {strconv.Itoa(r.load.Slots)},
		durationField: {formatMicros(r.load.Duration)},
		failuresField: {strconv.Itoa(int(r.load.Failures * permille))},
	}
	if len(r.callees) > 0 {
		v[calleeField] = r.callees
	}
	if r.calleeOverloaded {
		v.Set(calleeOverloadedField, "1")
	}
	if r.refused {
		v.Set(verdictField, r.verdict.String())
		v.Set(reasonField, string(r.reason))
		v.Set(waitField, formatMicros(r.wait))
	}
	return v.Encode()
}

func parseReport(s string) (report, bool) {
	v, err := url.ParseQuery(s)
	if err != nil || s == "" {
		return report{}, false
	}
	r := report{
		refused: v.Has(verdictField),
		verdict: judge.Parse(v.Get(verdictField)),
		reason:  Reason(v.Get(reasonField)),
		wait:    parseMicros(v.Get(waitField)),
		load:    gatekeeper.Load{Duration: parseMicros(v.Get(durationField))},
		callees: v[calleeField],

		calleeOverloaded: v.Has(calleeOverloadedField),
	}
	r.load.Running, _ = strconv.Atoi(v.Get(runningField))
	r.load.Waiting, _ = strconv.Atoi(v.Get(waitingField))
	r.load.Slots, _ = strconv.Atoi(v.Get(slotsField))
	f, _ := strconv.Atoi(v.Get(failuresField))
	r.load.Failures = float64(f) / permille
	return r, true
}

func formatMicros(d time.Duration) string {
	return strconv.FormatInt(d.Microseconds(), 10)
}

func parseMicros(s string) time.Duration {
	n, err := strconv.ParseInt(s, 10, 48)
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Microsecond
}
