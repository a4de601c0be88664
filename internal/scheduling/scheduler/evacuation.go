package scheduler

// WithEvacuations sets the function that reports whether a zone is being evacuated, so that no new runs are sent to it. The runs that are
// already in the zone continue. The pool calls the function when it recomputes its view of the executors, at the latest in the placement
// after the next tick. A launch that is in flight by then is refused by the local proxy (localproxy.Table).
func WithEvacuations(isEvacuated func(zone string) bool) Option {
	return func(p *Pool) { p.isEvacuated = isEvacuated }
}

func noEvacuations(string) bool { return false }
