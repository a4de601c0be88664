package scheduler

// WithEvacuations names the function that tells whether nothing new may be sent to a zone. What runs there runs on. The pool asks it at each
// tick, and so within a moment of the order; a launch that is under way is refused by the local proxy (localproxy.Table).
func WithEvacuations(isEvacuated func(zone string) bool) Option {
	return func(p *Pool) { p.isEvacuated = isEvacuated }
}

func noEvacuations(string) bool { return false }
