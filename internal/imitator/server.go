package imitator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

const (
	maxWait      = time.Minute
	maxBodyBytes = 4 << 20
)

// Server serves a Store over HTTP with faults. Its zero value is ready.
type Server struct {
	// Traffic counts the bytes of the listener that the server is used with.
	Traffic meter.Traffic

	store   Store
	control controller
}

type faultsJSON struct {
	Down        bool `json:"down"`
	Silent      bool `json:"silent"`
	DelayMS     int  `json:"delay_ms"`
	LoseAnswers int  `json:"lose_answers"`
	DownAfter   bool `json:"down_after_loss"`
	ReadRate    int  `json:"read_rate"`
	WriteRate   int  `json:"write_rate"`
}

type countsJSON struct {
	Reads         uint64 `json:"reads"`
	Writes        uint64 `json:"writes"`
	Watches       uint64 `json:"watches"`
	Refused       uint64 `json:"refused"`
	PeakReads     uint64 `json:"peak_reads_per_s"`
	PeakWrites    uint64 `json:"peak_writes_per_s"`
	BytesReceived uint64 `json:"bytes_received"`
	BytesSent     uint64 `json:"bytes_sent"`
}

// Store returns the store behind the server, without faults.
func (s *Server) Store() *Store {
	return &s.store
}

// Handler returns the HTTP interface of the store and of its faults.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/kv-key", s.wrap(read, s.read))
	m.HandleFunc("GET /v1/kv-range", s.wrap(read, s.list))
	m.HandleFunc("GET /v1/kv-watch", s.wrap(watch, s.watch))
	m.HandleFunc("POST /v1/kv-txn", s.wrap(write, s.change))
	m.HandleFunc("POST /v1/kv-lease", s.wrap(write, s.grant))
	m.HandleFunc("POST /v1/kv-keep/{id}", s.wrap(write, s.keepAlive))
	m.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.wrap(write, s.revoke))
	m.HandleFunc("PUT /faults", s.setFaults)
	m.HandleFunc("POST /faults/lapse", s.lapse)
	m.HandleFunc("POST /faults/rewind", s.rewind)
	m.HandleFunc("POST /faults/forget", func(http.ResponseWriter, *http.Request) { s.store.Forget() })
	m.HandleFunc("PUT /operator/{key...}", s.operate)
	m.HandleFunc("GET /counts", s.counts)
	return m
}

// call handles a call of the store and returns the body of the answer.
type call func(r *http.Request) (any, error)

func (s *Server) wrap(k kind, f call) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		t, ok := s.control.admit(k, time.Now())
		if t.Down {
			panic(http.ErrAbortHandler)
		}
		if t.Silent {
			<-r.Context().Done()
			return
		}
		if !ok {
			http.Error(w, "rate exceeded", http.StatusTooManyRequests)
			return
		}
		time.Sleep(t.Delay)
		v, err := f(r)
		if k == write && s.control.loseAnswer() {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			http.Error(w, message(err), status(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	}
}

func message(err error) string {
	if e := errorx.Cast(err); e != nil {
		return e.Message()
	}
	return err.Error()
}

// errForgotten reports a watch from before the known history.
var errForgotten = classifier.Unavailable.NewSubtype("imitator_forgotten")

func status(err error) int {
	switch {
	case classifier.Is(err, errForgotten):
		return http.StatusGone
	case classifier.Is(err, classifier.NotFound):
		return http.StatusNotFound
	case classifier.Is(err, classifier.Conflict):
		return http.StatusPreconditionFailed
	case classifier.Is(err, classifier.Invalid):
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

// The bodies of the platform's protocol; []byte is written as base64.
type (
	itemJSON struct {
		Key       string `json:"key"`
		Value     []byte `json:"value,omitempty"`
		Rev       uint64 `json:"rev"`
		Tombstone bool   `json:"tombstone,omitempty"`
		AsOf      uint64 `json:"current-rev,omitempty"`
	}
	rangeJSON struct {
		Items     []itemJSON `json:"items"`
		Truncated bool       `json:"truncated"`
		AsOf      uint64     `json:"current-rev"`
	}
	watchJSON struct {
		Events []itemJSON `json:"events"`
		AsOf   uint64     `json:"current-rev"`
	}
	changeJSON struct {
		Preconditions []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	changedJSON struct {
		Rev uint64 `json:"rev"`
	}
	leaseJSON struct {
		Lease uint64 `json:"lease,omitempty"`
		TTL   string `json:"ttl_time"`
	}
)

func (s *Server) read(r *http.Request) (any, error) {
	k := r.URL.Query().Get("key")
	v, err := s.store.Get(r.Context(), k)
	return itemJSON{Key: k, Value: v.Data, Rev: v.Revision, AsOf: v.AsOf}, err
}

func (s *Server) watch(r *http.Request) (any, error) {
	n, err := integer(r, "after")
	if err != nil {
		return nil, err
	}
	m, err := integer(r, "wait-ms")
	if err != nil {
		return nil, err
	}
	t := time.NewTimer(min(time.Duration(m)*time.Millisecond, maxWait))
	defer t.Stop()
	for {
		l, asOf, changed, ok := s.store.since(r.URL.Query().Get("prefix"), n)
		if !ok {
			return nil, classifier.Error(errForgotten, classifier.NotRun, "history before %d is forgotten", asOf)
		}
		if len(l) > 0 {
			return writeEvents(l, asOf), nil
		}
		select {
		case <-changed:
		case <-t.C:
			return writeEvents(nil, asOf), nil
		case <-r.Context().Done():
			return nil, classifier.Wrap(r.Context().Err(), classifier.TimedOut, classifier.NotRun, "watch")
		}
	}
}

func writeEvents(list []event, asOf uint64) watchJSON {
	j := watchJSON{Events: make([]itemJSON, 0, len(list)), AsOf: asOf}
	for _, e := range list {
		j.Events = append(j.Events, itemJSON{Key: e.key, Value: e.value.Data, Rev: e.at, Tombstone: e.removed})
	}
	return j
}

func (s *Server) list(r *http.Request) (any, error) {
	l, err := s.store.List(r.Context(), r.URL.Query().Get("prefix"), storer.Current)
	if err != nil {
		return nil, err
	}
	j := rangeJSON{Items: make([]itemJSON, 0, len(l))}
	for _, i := range l {
		j.Items = append(j.Items, itemJSON{Key: i.Key, Value: i.Value.Data, Rev: i.Value.Revision})
	}
	return j, nil
}

// change takes the changes that the product makes: one write or one delete
// under a condition on the same key.
func (s *Server) change(r *http.Request) (any, error) {
	var j changeJSON
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&j); err != nil {
		return nil, classifier.Wrap(err, classifier.Invalid, classifier.NotRun, "body")
	}
	if len(j.Preconditions) != 1 || len(j.Writes)+len(j.Deletes) != 1 {
		return nil, classifier.Error(classifier.Invalid, classifier.NotRun, "a change of one key with its precondition is expected")
	}
	p := j.Preconditions[0]
	if len(j.Deletes) == 1 {
		return changedJSON{}, s.store.Delete(r.Context(), j.Deletes[0], p.Rev)
	}
	w := j.Writes[0]
	n, err := s.store.Put(r.Context(), w.Key, w.Value, p.Rev, storer.LeaseID(w.Lease))
	return changedJSON{Rev: n}, err
}

// operate writes a key on behalf of an operator, whatever its revision.
func (s *Server) operate(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v, _ := s.store.Get(r.Context(), r.PathValue("key"))
	if _, err := s.store.Put(r.Context(), r.PathValue("key"), b, v.Revision, 0); err != nil {
		http.Error(w, message(err), status(err))
	}
}

func (s *Server) grant(r *http.Request) (any, error) {
	var j leaseJSON
	if err := json.NewDecoder(r.Body).Decode(&j); err != nil {
		return nil, classifier.Wrap(err, classifier.Invalid, classifier.NotRun, "body")
	}
	d, err := time.ParseDuration(j.TTL)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Invalid, classifier.NotRun, "ttl_time")
	}
	l, err := s.store.Grant(r.Context(), d)
	return leaseJSON{Lease: uint64(l), TTL: j.TTL}, err
}

func (s *Server) keepAlive(r *http.Request) (any, error) {
	l, err := leaseID(r)
	if err != nil {
		return nil, err
	}
	return leaseJSON{}, s.store.KeepAlive(r.Context(), l)
}

func (s *Server) revoke(r *http.Request) (any, error) {
	l, err := leaseID(r)
	if err != nil {
		return nil, err
	}
	return leaseJSON{}, s.store.Revoke(r.Context(), l)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var j faultsJSON
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&j); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.control.set(Faults{
		Down:          j.Down,
		Silent:        j.Silent,
		Delay:         time.Duration(j.DelayMS) * time.Millisecond,
		LoseAnswers:   j.LoseAnswers,
		DownAfterLoss: j.DownAfter,
		ReadRate:      j.ReadRate,
		WriteRate:     j.WriteRate,
	})
}

func (s *Server) lapse(http.ResponseWriter, *http.Request) {
	s.store.LapseLeases()
}

func (s *Server) rewind(w http.ResponseWriter, r *http.Request) {
	n, err := integer(r, "writes")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.store.Rewind(int(n))
}

func (s *Server) counts(w http.ResponseWriter, r *http.Request) {
	c := s.control.snapshot(r.URL.Query().Has("reset_peaks"))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(countsJSON{
		Reads:         c.Reads,
		Writes:        c.Writes,
		Watches:       c.Watches,
		Refused:       c.Refused,
		PeakReads:     c.PeakReads,
		PeakWrites:    c.PeakWrites,
		BytesReceived: s.Traffic.Received(),
		BytesSent:     s.Traffic.Sent(),
	})
}

// integer reads a query parameter, 0 when it is absent.
func integer(r *http.Request, name string) (uint64, error) {
	v := r.URL.Query().Get(name)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		return 0, classifier.Wrap(err, classifier.Invalid, classifier.NotRun, "parameter %s", name)
	}
	return n, nil
}

func leaseID(r *http.Request) (storer.LeaseID, error) {
	n, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0, classifier.Wrap(err, classifier.Invalid, classifier.NotRun, "lease")
	}
	return storer.LeaseID(n), nil
}
