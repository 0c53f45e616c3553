// Package configurer reads and checks the settings of a node.
package configurer

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/parser"
	"github.com/dragonflydoor/dragonflydoor/internal/registrar"
	"github.com/dragonflydoor/dragonflydoor/internal/validator"
)

// Defaults and bounds of the settings.
const (
	defaultRelays = 3
	maxRelays     = 9
	defaultFanOut = 8
	maxFanOut     = 64
	maxVerbosity  = 4
	addressRule   = `an IP number with port, such as "10.0.0.7:7100"`

	// DefaultStopBound is the time that a planned stop may take: callers' own
	// deadlines end what is in flight long before.
	DefaultStopBound = time.Minute
	maxStopBound     = 24 * time.Hour
	maxLinger        = time.Minute
	maxRetryPercent  = 100
)

// Defaults returns settings with the default of every field that has one.
func Defaults() Settings {
	return Settings{
		RelaysPerDataCenter: defaultRelays,
		FanOut:              defaultFanOut,
		StopBound:           DefaultStopBound,
		AnnouncementTTL:     registrar.DefaultTTL,
	}
}

// Settings configure one node.
type Settings struct {
	// Node names this node in the whole mesh.
	Node       string
	DataCenter string
	// Profile is the profile that the service beside this node runs under.
	Profile string
	// PeerAddress is where other nodes reach this one, over TCP and UDP.
	PeerAddress string
	// PeerBindAddress is what the node listens on and sends from, where that
	// is not the address under which others reach it.
	PeerBindAddress string
	// CallerAddress is where callers send requests.
	CallerAddress string
	// LocalAddress is where targets announce themselves, and where state and
	// metrics are served. It should be on the loopback.
	LocalAddress string
	StoreAddress string
	// Peers are peer addresses for a start without the store.
	Peers []string
	// RelaysPerDataCenter is the number of nodes that watch the store.
	RelaysPerDataCenter int
	// FanOut is the planned number of children of a node.
	FanOut int
	// Verbosity of the log, 0 to 4.
	Verbosity int
	// Service is the service beside this node, for targets that want to know
	// where a request began.
	Service string
	// TargetAddress is the address of the target beside this node, empty where
	// that is not known beforehand.
	TargetAddress string
	// ReadyAddress is where the node says whether callers may come, and
	// MetricsAddress where it serves metrics besides LocalAddress. Empty ones
	// are not listened on.
	ReadyAddress   string
	MetricsAddress string
	// FirstStart says that the whole mesh starts for the first time: there are no
	// other nodes to be found yet, and no configuration.
	FirstStart bool
	// StopBound bounds a planned stop, and Linger is how long requests are still
	// taken after it has begun.
	StopBound time.Duration
	Linger    time.Duration
	// LinkMbps is the rate of the VM's link, in megabits a second; zero when it
	// is not known.
	LinkMbps float64
	// MemoryMB is the memory of the VM, in megabytes of 2^20 bytes; zero when it
	// is not known.
	MemoryMB float64
	// AnnouncementTTL is how long a target's announcement holds.
	AnnouncementTTL time.Duration
	// RetryPercent and RetrySlack bound the retries that all nodes together make
	// for a service, as a share of its calls and a number beyond it; zeros leave
	// it to the service.
	RetryPercent int
	RetrySlack   float64
}

// field reads one setting into s. The table below is the whole format.
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
	{"announcement_ttl", func(o *parser.Object, n string, s *Settings) {
		s.AnnouncementTTL = o.Duration(n, registrar.DefaultTTL, time.Second, time.Hour)
	}},
	{"retry_percent", func(o *parser.Object, n string, s *Settings) {
		s.RetryPercent = int(o.Number(n, 0, 0, maxRetryPercent))
	}},
	{"log_verbosity", func(o *parser.Object, n string, s *Settings) { s.Verbosity = int(o.Number(n, 0, 0, maxVerbosity)) }},
}

// Parse reads settings. The error is parser.Problems with every fault.
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
	checkDistinct(s, r)
	if err := r.Problems().Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Load reads the settings in a file.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, judge.Wrap(err, judge.Invalid, judge.NotRun, "configurer: settings")
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

// ValidAddress reports whether s is an IP number with a port.
func ValidAddress(s string) bool {
	h, p, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(h) == nil {
		return false
	}
	n, err := strconv.ParseUint(p, 10, 16)
	return err == nil && n > 0
}

// checkDistinct reports listeners that share an address.
func checkDistinct(s Settings, r *parser.Report) {
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
