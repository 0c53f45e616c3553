package forwarder

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/gatekeeper"
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
	// toCancel is toSettle for an attempt that may be repeated. Builds that do not record
	// those refuse it as unreadable.
	toCancel purpose = "cancel"
	// toCheck checks whether the node is reachable.
	toCheck purpose = "check"
)

// hop is the metadata of a call that a node sends to another one in HopHeader.
type hop struct {
	purpose   purpose
	service   string
	target    string
	profile   string
	attempt   string
	class     string
	priority  int
	objective time.Duration
	immediate bool
	nested    bool
	// returning means that the caller has been refused before.
	returning  bool
	repeatable bool
	repeat     bool
	// abandonOverdue means that the request is abandoned and retried if its answer is overdue.
	abandonOverdue bool
	// bounded means that the deadline applies to the whole answer, not only its start.
	bounded     bool
	fingerprint quarantiner.Fingerprint
	// workspace is the name of the workspace that the request belongs to, empty if none.
	workspace string
	// age is the time since an attempt that is settled began.
	age time.Duration
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
	workspaceField      = "w"
	boundedField        = "y"
	fingerprintField    = "h"
	ageField            = "e"
	returningField      = "j"
)

func (h hop) format() string {
	var w fieldWriter
	w.addText(attemptField, h.attempt)
	w.addFlag(abandonOverdueField, h.abandonOverdue)
	w.addText(classField, h.class)
	if h.age != 0 {
		w.add(ageField, formatMicros(h.age))
	}
	w.addText(profileField, h.profile)
	w.addFlag(repeatField, h.repeat)
	if h.fingerprint != unknownFingerprint {
		w.add(fingerprintField, formatFingerprint(h.fingerprint))
	}
	w.addFlag(immediateField, h.immediate)
	w.addFlag(repeatableField, h.repeatable)
	w.addFlag(returningField, h.returning)
	w.addFlag(nestedField, h.nested)
	if h.objective != 0 {
		w.add(objectiveField, formatMicros(h.objective))
	}
	w.add(purposeField, string(h.purpose))
	if h.priority != 0 {
		w.add(priorityField, strconv.Itoa(h.priority))
	}
	w.addText(serviceField, h.service)
	w.addText(targetField, h.target)
	w.addText(workspaceField, h.workspace)
	w.addFlag(boundedField, h.bounded)
	return w.String()
}

func parseHop(s string) (hop, bool) {
	var h hop
	if !readFields(s, h.set) {
		return hop{}, false
	}
	switch h.purpose {
	case toGate, toHome, toSettle, toCancel, toCheck:
		return h, true
	}
	return hop{}, false
}

// set sets the field with the given name. Unknown ones are ignored.
func (h *hop) set(name, value string) {
	if f := h.flag(name); f != nil {
		*f = true
		return
	}
	switch name {
	case purposeField:
		h.purpose = purpose(value)
	case serviceField:
		h.service = value
	case targetField:
		h.target = value
	case profileField:
		h.profile = value
	case attemptField:
		h.attempt = value
	case classField:
		h.class = value
	case priorityField:
		h.priority, _ = strconv.Atoi(value)
	case objectiveField:
		h.objective = parseMicros(value)
	case workspaceField:
		h.workspace = value
	case ageField:
		h.age = parseMicros(value)
	case fingerprintField:
		h.fingerprint = parseFingerprint(value)
	}
}

// flag returns the flag with the given name, or nil if there is none.
func (h *hop) flag(name string) *bool {
	switch name {
	case immediateField:
		return &h.immediate
	case nestedField:
		return &h.nested
	case returningField:
		return &h.returning
	case repeatableField:
		return &h.repeatable
	case repeatField:
		return &h.repeat
	case abandonOverdueField:
		return &h.abandonOverdue
	case boundedField:
		return &h.bounded
	}
	return nil
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
	verdict classifier.Verdict
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
	// refusedBy is the service whose gates refused that call for load.
	refusedBy string
	// linkBusy means that the gate refused the call because of its link.
	linkBusy bool
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
	slowdownField         = "g"
	refusedByField        = "y"
	linkBusyField         = "n"

	permille = 1000
	percent  = 100
)

func (r report) format() string {
	var w fieldWriter
	w.add(durationField, formatMicros(r.load.Duration))
	if r.refused {
		w.add(reasonField, string(r.reason))
	}
	for _, c := range r.callees {
		w.add(calleeField, c)
	}
	w.add(slotsField, strconv.Itoa(r.load.Slots))
	w.add(waitingField, strconv.Itoa(r.load.Waiting))
	w.add(runningField, strconv.Itoa(r.load.Running))
	if r.refused {
		w.add(verdictField, r.verdict.String())
		w.add(waitField, formatMicros(r.wait))
	}
	w.add(failuresField, strconv.Itoa(int(r.load.Failures*permille)))
	w.addText(refusedByField, r.refusedBy)
	w.addFlag(linkBusyField, r.linkBusy)
	w.addFlag(calleeOverloadedField, r.calleeOverloaded)
	if r.load.Slowdown > 0 {
		w.add(slowdownField, strconv.Itoa(int(math.Round(r.load.Slowdown*percent))))
	}
	return w.String()
}

func parseReport(s string) (report, bool) {
	var r report
	if s == "" || !readFields(s, r.set) {
		return report{}, false
	}
	return r, true
}

// set sets the field with the given name. Unknown ones are ignored.
func (r *report) set(name, value string) {
	switch name {
	case verdictField:
		r.refused, r.verdict = true, classifier.Parse(value)
	case reasonField:
		r.reason = Reason(value)
	case waitField:
		r.wait = parseMicros(value)
	case runningField:
		r.load.Running, _ = strconv.Atoi(value)
	case waitingField:
		r.load.Waiting, _ = strconv.Atoi(value)
	case slotsField:
		r.load.Slots, _ = strconv.Atoi(value)
	case durationField:
		r.load.Duration = parseMicros(value)
	case failuresField:
		n, _ := strconv.Atoi(value)
		r.load.Failures = float64(n) / permille
	case calleeField:
		r.callees = append(r.callees, value)
	case slowdownField:
		n, _ := strconv.Atoi(value)
		r.load.Slowdown = float64(max(n, 0)) / percent
	case calleeOverloadedField:
		r.calleeOverloaded = true
	case refusedByField:
		r.refusedBy = value
	case linkBusyField:
		r.linkBusy = true
	}
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
