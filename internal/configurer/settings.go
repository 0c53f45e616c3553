// Package configurer parses and validates the settings of a node.
package configurer

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/orderer"
	"github.com/dragonflydoor/dragonflydoor/internal/parser"
	"github.com/dragonflydoor/dragonflydoor/internal/registrar"
	"github.com/dragonflydoor/dragonflydoor/internal/validator"
)

// Defaults and limits of the settings.
const (
	defaultRelays = 3
	maxRelays     = 9
	defaultFanOut = 8
	maxFanOut     = 64
	maxVerbosity  = 4
	addressRule   = `an IP number with port, such as "10.0.0.7:7100"`

	// DefaultStopBound is the maximum duration of a planned stop. The callers'
	// own deadlines end requests in flight long before.
	DefaultStopBound = time.Minute
	maxStopBound     = 24 * time.Hour

	// DefaultConfigurationBound is the time within which an accepted configuration has
	// to be in force on every node, and MinConfigurationBound the shortest one.
	DefaultConfigurationBound = 5 * time.Second
	MinConfigurationBound     = 500 * time.Millisecond
	maxConfigurationBound     = time.Hour

	// DefaultRevocationBound is the time after which a removed key admits no request, and
	// MinRevocationBound the shortest one.
	DefaultRevocationBound = 5 * time.Second
	MinRevocationBound     = time.Second

	maxLinger = time.Minute
	// Each node remembers the requests of a usage window.
	minUsageWindow  = time.Second
	maxUsageWindow  = time.Minute
	maxUsageSlack   = 1e6
	maxRetryPercent = 100

	minMemoryMB = 32
	maxMemoryMB = 1 << 20
	// minFDs leaves some connections beside the descriptors that are reserved for files.
	minFDs         = 256
	maxFDs         = 1 << 20
	maxExposeSlack = 1_000_000
)

// Defaults returns settings in which every field that has a default is set.
func Defaults() Settings {
	return Settings{
		RelaysPerDataCenter: defaultRelays,
		FanOut:              defaultFanOut,
		StopBound:           DefaultStopBound,
		ConfigurationBound:  DefaultConfigurationBound,
		RevocationBound:     DefaultRevocationBound,
		AnnouncementTTL:     registrar.DefaultTTL,
		RolloutBounds:       orderer.DefaultBounds,
	}
}

// Settings is the configuration of one node.
type Settings struct {
	// Node is the name of this node, unique in the mesh.
	Node       string
	DataCenter string
	// Profile is the profile under which the service beside this node runs.
	Profile string
	// PeerAddress is the address at which other nodes reach this one, over TCP
	// and UDP.
	PeerAddress string
	// PeerBindAddress is the address on which the node listens for peers and
	// from which it sends, if it differs from PeerAddress.
	PeerBindAddress string
	// CallerAddress is the listen address for requests from callers.
	CallerAddress string
	// LocalAddress is the listen address for announcements from targets, and for
	// state and metrics. It should be a loopback address.
	LocalAddress string
	StoreAddress string
	// Peers lists peer addresses to try before the relays listed in the store,
	// so that the node can join without the store.
	Peers []string
	// RelaysPerDataCenter is the number of nodes in each data centre that watch
	// the store.
	RelaysPerDataCenter int
	// FanOut is the intended number of children of a node.
	FanOut int
	// Verbosity is the log level, 0 to 4.
	Verbosity int
	// Service is the name of the service beside this node. Targets receive it as
	// the origin of a request.
	Service string
	// TargetAddress is the address of the target beside this node; empty if it
	// is not known in advance.
	TargetAddress string
	// ReadyAddress is the listen address of the readiness check, and
	// MetricsAddress an additional one for metrics, which LocalAddress serves as
	// well. If empty, the listener is not started.
	ReadyAddress   string
	MetricsAddress string
	// FirstStart is set when the whole mesh starts for the first time: there are
	// no other nodes to find yet, and no configuration.
	FirstStart bool
	// StopBound is the maximum duration of a planned stop, and Linger is how long
	// the node still accepts requests after the stop has begun.
	StopBound time.Duration
	Linger    time.Duration
	// ConfigurationBound is the time within which an accepted configuration has to be in
	// force. It determines how long a node relies on relays of which it hears nothing.
	ConfigurationBound time.Duration
	// StrictRevocation makes the node reject requests with keys unless its configuration
	// was confirmed as the newest one within RevocationBound.
	StrictRevocation bool
	RevocationBound  time.Duration
	// LinkMbps is the bandwidth of the VM's network link, in megabits per second;
	// zero if unknown.
	LinkMbps float64
	// MemoryMB is the memory of the VM, in megabytes of 2^20 bytes; zero if
	// unknown.
	MemoryMB float64
	// MaxFDs is the number of file descriptors that the process may have open; zero
	// means the limit of the process.
	MaxFDs int
	// AnnouncementTTL is how long a target's announcement stays valid.
	AnnouncementTTL time.Duration
	// RetryPercent and RetrySlack limit the retries that all nodes together make
	// for a service: a percentage of its calls plus a fixed allowance. If zero,
	// the limits of the service apply.
	RetryPercent int
	RetrySlack   float64
	// UsageWindow is the time over which the requests of workspaces are capped; zero
	// for no caps. In any window a workspace gets at most what its rate and burst allow,
	// plus the share UsageOver of it and UsageSlack requests.
	UsageWindow time.Duration
	UsageOver   float64
	UsageSlack  float64
	// Rollouts is set if operators order roll-outs of new versions of targets, and
	// RolloutBounds limit what a bad version gets.
	Rollouts      bool
	RolloutBounds orderer.Bounds
	// ShareLoads makes gates state the loads of their targets to all nodes.
	ShareLoads bool
}

// field reads one setting into s. The fields table defines the whole format.
type field struct {
	name string
	read func(o *parser.Object, name string, s *Settings)
}

var fields = []field{
	{"node", func(o *parser.Object, n string, s *Settings) { s.Node = readName(o, n) }},
	{"data_center", func(o *parser.Object, n string, s *Settings) { s.DataCenter = readName(o, n) }},
	{"profile", func(o *parser.Object, n string, s *Settings) { s.Profile = readName(o, n) }},
	{"peer_address", func(o *parser.Object, n string, s *Settings) { s.PeerAddress = readAddress(o, n) }},
	{"peer_bind_address", func(o *parser.Object, n string, s *Settings) {
		s.PeerBindAddress = readOptionalAddress(o, n, s.PeerAddress)
	}},
	{"caller_address", func(o *parser.Object, n string, s *Settings) { s.CallerAddress = readAddress(o, n) }},
	{"local_address", func(o *parser.Object, n string, s *Settings) { s.LocalAddress = readAddress(o, n) }},
	{"store_address", func(o *parser.Object, n string, s *Settings) { s.StoreAddress = readAddress(o, n) }},
	{"peers", func(o *parser.Object, n string, s *Settings) { s.Peers = o.Texts(n, addressRule, ValidAddress) }},
	{"relays_per_data_center", func(o *parser.Object, n string, s *Settings) {
		s.RelaysPerDataCenter = int(o.Number(n, defaultRelays, 1, maxRelays))
	}},
	{"fan_out", func(o *parser.Object, n string, s *Settings) {
		s.FanOut = int(o.Number(n, defaultFanOut, 2, maxFanOut))
	}},
	{"service", func(o *parser.Object, n string, s *Settings) { s.Service = o.Text(n) }},
	{"target_address", func(o *parser.Object, n string, s *Settings) { s.TargetAddress = readOptionalAddress(o, n, "") }},
	{"ready_address", func(o *parser.Object, n string, s *Settings) { s.ReadyAddress = readOptionalAddress(o, n, "") }},
	{"metrics_address", func(o *parser.Object, n string, s *Settings) { s.MetricsAddress = readOptionalAddress(o, n, "") }},
	{"stop_bound", func(o *parser.Object, n string, s *Settings) {
		s.StopBound = o.Duration(n, DefaultStopBound, time.Second, maxStopBound)
	}},
	{"linger", func(o *parser.Object, n string, s *Settings) { s.Linger = o.Duration(n, 0, 0, maxLinger) }},
	{"configuration_bound", func(o *parser.Object, n string, s *Settings) {
		s.ConfigurationBound = o.Duration(n, DefaultConfigurationBound, MinConfigurationBound, maxConfigurationBound)
	}},
	{"strict_revocation", func(o *parser.Object, n string, s *Settings) { s.StrictRevocation = o.Flag(n) }},
	{"revocation_bound", func(o *parser.Object, n string, s *Settings) {
		s.RevocationBound = o.Duration(n, DefaultRevocationBound, MinRevocationBound, maxConfigurationBound)
	}},
	{"announcement_ttl", func(o *parser.Object, n string, s *Settings) {
		s.AnnouncementTTL = o.Duration(n, registrar.DefaultTTL, time.Second, time.Hour)
	}},
	{"retry_percent", func(o *parser.Object, n string, s *Settings) {
		s.RetryPercent = int(o.Number(n, 0, 0, maxRetryPercent))
	}},
	{"memory_mb", func(o *parser.Object, n string, s *Settings) {
		s.MemoryMB = float64(o.Number(n, 0, minMemoryMB, maxMemoryMB))
	}},
	{"max_fds", func(o *parser.Object, n string, s *Settings) { s.MaxFDs = int(o.Number(n, 0, minFDs, maxFDs)) }},
	{"usage_window", func(o *parser.Object, n string, s *Settings) {
		s.UsageWindow = o.Duration(n, 0, minUsageWindow, maxUsageWindow)
	}},
	{"usage_over", func(o *parser.Object, n string, s *Settings) { s.UsageOver = o.Fraction(n, 0, 0, 1) }},
	{"usage_slack", func(o *parser.Object, n string, s *Settings) { s.UsageSlack = o.Fraction(n, 0, 0, maxUsageSlack) }},
	{"rollouts", func(o *parser.Object, n string, s *Settings) { s.Rollouts = o.Flag(n) }},
	{"expose_percent", func(o *parser.Object, n string, s *Settings) {
		s.RolloutBounds.Share = float64(o.Number(n, int64(100*orderer.DefaultBounds.Share), 1, 100)) / 100
	}},
	{"expose_slack", func(o *parser.Object, n string, s *Settings) {
		s.RolloutBounds.Slack = float64(o.Number(n, int64(orderer.DefaultBounds.Slack), 0, maxExposeSlack))
	}},
	{"rollback_bound", func(o *parser.Object, n string, s *Settings) {
		s.RolloutBounds.Rollback = o.Duration(n, orderer.DefaultBounds.Rollback, time.Second, time.Hour)
	}},
	{"share_loads", func(o *parser.Object, n string, s *Settings) { s.ShareLoads = o.Flag(n) }},
	{"log_verbosity", func(o *parser.Object, n string, s *Settings) { s.Verbosity = int(o.Number(n, 0, 0, maxVerbosity)) }},
}

// Parse parses and validates settings. The error is a parser.Problems that lists
// every invalid field.
func Parse(data []byte) (Settings, error) {
	o, r := parser.Document(data)
	if err := r.Problems().Err(); err != nil {
		return Settings{}, err
	}
	s := Defaults()
	for _, f := range fields {
		f.read(o, f.name, &s)
	}
	o.Close()
	checkDistinctAddresses(s, r)
	if err := r.Problems().Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Load reads and parses a settings file.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, classifier.Wrap(err, classifier.Invalid, classifier.NotRun, "configurer: read settings file")
	}
	return Parse(b)
}

func readName(o *parser.Object, name string) string {
	s := o.Required(name, validator.NameRule)
	if s != "" && !validator.IsValidName(s) {
		o.Reject(name, validator.NameRule)
	}
	return s
}

func readAddress(o *parser.Object, name string) string {
	s := o.Required(name, addressRule)
	if s != "" && !ValidAddress(s) {
		o.Reject(name, addressRule)
	}
	return s
}

func readOptionalAddress(o *parser.Object, name, fallback string) string {
	if !o.Has(name) {
		_ = o.Text(name)
		return fallback
	}
	return readAddress(o, name)
}

// ValidAddress reports whether s is an IP address with a port other than 0.
func ValidAddress(s string) bool {
	h, p, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(h) == nil {
		return false
	}
	n, err := strconv.ParseUint(p, 10, 16)
	return err == nil && n > 0
}

// checkDistinctAddresses adds a problem to r for each listener that shares the
// address of another.
func checkDistinctAddresses(s Settings, r *parser.Report) {
	l := []struct{ name, address string }{
		{"peer_bind_address", s.PeerBindAddress},
		{"caller_address", s.CallerAddress},
		{"local_address", s.LocalAddress},
	}
	for i, a := range l {
		for _, b := range l[:i] {
			if a.address != "" && a.address == b.address {
				r.Add(a.name, a.address, "another address than "+b.name)
			}
		}
	}
}
