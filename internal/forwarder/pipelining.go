package forwarder

import (
	"net/http"

	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// Concurrent reports whether a request may run while earlier ones of its connection do:
// its route allows to repeat it.
func (e *Entry) Concurrent(r *http.Request) bool {
	p := e.holder.Current().Serving(e.Profile())
	if p == nil {
		return false
	}
	t, ok := p.Table.Find(router.Request{Host: r.Host, Path: r.URL.Path, Method: r.Method, Header: r.Header.Get})
	return ok && t.Repeatable(r.Method)
}
