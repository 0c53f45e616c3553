package forwarder

// Dialect holds the names of the headers that callers and targets use. Headers with an
// empty name are not used.
type Dialect struct {
	// Request identifies a request on all its hops.
	Request string
	// Deadline carries the time left for a request, in milliseconds.
	Deadline string
	// Key carries the caller's idempotency key. Without a name the header that callers may
	// send is passed on like any other.
	Key string
	// Verdict tells the caller whether a refused request may have run.
	Verdict string
	// Profile tells the caller which profile and version routed the request.
	Profile string
	// Instance carries the instance of the target that a request is addressed to. Any
	// other instance refuses it.
	Instance string
	// Self carries the instance of a target in its answers to health checks.
	Self string
	// Load carries the numbers of running requests, waiting requests and slots of the
	// answering target, separated by commas, and with some targets as a fourth how long
	// work takes on their VM now, in percent of the usual time.
	Load string
	// NotRun marks answers of targets that did not run the request.
	NotRun string
	// Signature is on every genuine answer of a target that ran the request.
	Signature string
	// Origin carries the service of the node at which the request entered the mesh.
	Origin string
	// Workspace carries the name of the workspace that a request belongs to, to the
	// target only.
	Workspace string
	// KeyScheme is the scheme of the Authorization header under which callers send their
	// keys.
	KeyScheme string
	// EchoesRequest means that targets copy Request to their answers.
	EchoesRequest bool
	// FractionalRetryAfter allows fractions of seconds in Retry-After.
	FractionalRetryAfter bool
	// Reserved is the prefix of headers that only nodes may set. They are removed from
	// requests of callers and answers of targets, so that neither can forge them.
	Reserved string
}

// DefaultDialect is the default dialect.
var DefaultDialect = Dialect{
	Request:   RequestHeader,
	Deadline:  DeadlineHeader,
	Key:       KeyHeader,
	Verdict:   VerdictHeader,
	Profile:   ProfileHeader,
	Workspace: WorkspaceHeader,
	KeyScheme: "Bearer",
	Reserved:  ownPrefix,
}
