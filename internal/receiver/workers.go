package receiver

import "time"

// workerIdle is how long a goroutine waits for another request before it ends. Starting
// one for each request took 4 us more.
const workerIdle = time.Second

// start runs x in a goroutine that is idle, or in a new one.
func (s *Server) start(x *exchange) {
	select {
	case s.work <- x:
	default:
		s.group.Go(func() { s.serveExchanges(x) })
	}
}

// serveExchanges runs x and those that follow.
func (s *Server) serveExchanges(x *exchange) {
	t := time.NewTimer(workerIdle)
	defer t.Stop()
	for {
		x.run()
		t.Reset(workerIdle)
		select {
		case x = <-s.work:
		case <-t.C:
			return
		}
	}
}
