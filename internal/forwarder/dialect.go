package forwarder

// Dialect names the headers that callers and targets use. Headers with an
// empty name are not used.
type Dialect struct {
	// Request identifies a request on all its hops.
	Request string
	// Deadline carries the time left for a request, in milliseconds.
	Deadline string
	// Verdict tells the caller whether a refused request may have run.
	Verdict string
	// Profile tells the caller which profile and version routed the request.
	Profile string
	// Instance names the life of the target that is meant; any other refuses.
	Instance string
	// Self names the life of the target that answers where it says whether it
	// is healthy.
	Self string
	// Load tells the running and waiting requests and the slots of the target
	// that answers, separated by commas.
	Load string
	// NotRun marks answers of targets that did not run the request.
	NotRun string
	// Signature is on every genuine answer of a target that ran the request.
	Signature string
	// Origin names the service beside which the request began.
	Origin string
	// EchoesRequest says that targets repeat Request in their answers.
	EchoesRequest bool
	// FractionalRetryAfter allows fractions of seconds in Retry-After.
	FractionalRetryAfter bool
	// Reserved is the prefix of headers that only nodes may set: neither callers
	// nor targets can speak for a node.
	Reserved string
}

// DefaultDialect is the product's own dialect.
var DefaultDialect = Dialect{
	Request:  RequestHeader,
	Deadline: DeadlineHeader,
	Verdict:  VerdictHeader,
	Profile:  ProfileHeader,
	Reserved: ownPrefix,
}
