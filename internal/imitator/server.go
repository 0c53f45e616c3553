package imitator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

const maxWait = time.Minute

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
	m.HandleFunc("GET /v1/values/{key...}", s.get)
	m.HandleFunc("GET /v1/values", s.wrap(read, s.list))
	m.HandleFunc("PUT /v1/values/{key...}", s.wrap(write, s.put))
	m.HandleFunc("DELETE /v1/values/{key...}", s.wrap(write, s.remove))
	m.HandleFunc("POST /v1/leases", s.wrap(write, s.grant))
	m.HandleFunc("PUT /v1/leases/{id}", s.wrap(write, s.keepAlive))
	m.HandleFunc("DELETE /v1/leases/{id}", s.wrap(write, s.revoke))
	m.HandleFunc("PUT /faults", s.setFaults)
	m.HandleFunc("POST /faults/lapse", s.lapse)
	m.HandleFunc("POST /faults/rewind", s.rewind)
	m.HandleFunc("GET /counts", s.counts)
	return m
}

type call func(w *answer, r *http.Request) error

// answer is a response that can be lost after the call took effect.
type answer struct {
	status   int
	revision uint64
	body     []byte
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("wait_ms") {
		s.wrap(watch, s.watch)(w, r)
		return
	}
	s.wrap(read, s.read)(w, r)
}

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
		a := &answer{status: http.StatusOK}
		err := f(a, r)
		if k == write && s.control.loseAnswer() {
			panic(http.ErrAbortHandler)
		}
		a.write(w, err)
	}
}

func (a *answer) write(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, message(err), status(err))
		return
	}
	w.Header().Set(storer.RevisionHeader, strconv.FormatUint(a.revision, 10))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

func message(err error) string {
	if e := errorx.Cast(err); e != nil {
		return e.Message()
	}
	return err.Error()
}

func status(err error) int {
	switch {
	case judge.Is(err, judge.NotFound):
		return http.StatusNotFound
	case judge.Is(err, judge.Conflict):
		return http.StatusPreconditionFailed
	case judge.Is(err, judge.Invalid):
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

func (s *Server) read(a *answer, r *http.Request) error {
	v, err := s.store.Get(r.Context(), r.PathValue("key"))
	a.revision = v.Revision
	a.body = v.Data
	return err
}

func (s *Server) watch(a *answer, r *http.Request) error {
	n, err := integer(r, "not_revision")
	if err != nil {
		return err
	}
	m, err := integer(r, "wait_ms")
	if err != nil {
		return err
	}
	d := min(time.Duration(m)*time.Millisecond, maxWait)
	v, ok, err := s.store.Watch(r.Context(), r.PathValue("key"), n, d)
	if !ok {
		a.status = http.StatusNoContent
	}
	a.revision = v.Revision
	a.body = v.Data
	return err
}

func (s *Server) list(a *answer, r *http.Request) error {
	l, err := s.store.List(r.Context(), r.URL.Query().Get("prefix"))
	a.body = storer.EncodeItems(l)
	return err
}

func (s *Server) put(a *answer, r *http.Request) error {
	b, err := io.ReadAll(io.LimitReader(r.Body, storer.MaxValueBytes+1))
	if err != nil {
		return judge.Wrap(err, judge.Invalid, judge.NotRun, "body")
	}
	n, err := integer(r, "revision")
	if err != nil {
		return err
	}
	l, err := integer(r, "lease")
	if err != nil {
		return err
	}
	a.revision, err = s.store.Put(r.Context(), r.PathValue("key"), b, n, storer.LeaseID(l))
	return err
}

func (s *Server) remove(_ *answer, r *http.Request) error {
	n, err := integer(r, "revision")
	if err != nil {
		return err
	}
	return s.store.Delete(r.Context(), r.PathValue("key"), n)
}

func (s *Server) grant(a *answer, r *http.Request) error {
	n, err := integer(r, "ttl_ms")
	if err != nil {
		return err
	}
	l, err := s.store.Grant(r.Context(), time.Duration(n)*time.Millisecond)
	a.body = strconv.AppendUint(nil, uint64(l), 10)
	return err
}

func (s *Server) keepAlive(_ *answer, r *http.Request) error {
	l, err := leaseID(r)
	if err != nil {
		return err
	}
	return s.store.KeepAlive(r.Context(), l)
}

func (s *Server) revoke(_ *answer, r *http.Request) error {
	l, err := leaseID(r)
	if err != nil {
		return err
	}
	return s.store.Revoke(r.Context(), l)
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
		return 0, judge.Wrap(err, judge.Invalid, judge.NotRun, "parameter %s", name)
	}
	return n, nil
}

func leaseID(r *http.Request) (storer.LeaseID, error) {
	n, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0, judge.Wrap(err, judge.Invalid, judge.NotRun, "lease")
	}
	return storer.LeaseID(n), nil
}
