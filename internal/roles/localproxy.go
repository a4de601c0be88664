package roles

import (
	"time"

	"gannetline/internal/comparenodes"
	"gannetline/internal/executorcalls"
	"gannetline/internal/localproxy"
	"gannetline/internal/siblingwire"
)

// LocalProxy stands before the executor of its machine, until SIGTERM.
func LocalProxy(path string) error {
	b, err := newBase(path, "local-proxy")
	if err != nil {
		return err
	}
	control, err := listen("control-plane", b.settings.Listen.Control)
	if err != nil {
		return err
	}
	b.join(siblingwire.Member{Role: "local-proxy"})
	comparenodes.Handle(b.inner, comparenodes.Sources{View: b.node.View})
	executor := executorcalls.NewClient(siblingwire.Client(silence, 8), b.settings.App)
	proxy := localproxy.New(b.settings.Service, b.settings.Domain, b.settings.NodeName, b.clock, b.log, executor, b.caller, b.node.View)
	b.tree.Add("proxy", proxy.Run)
	b.tree.Add("executor-calls", serving(control, proxy))
	return b.run(func() { <-b.clock.After(200 * time.Millisecond) })
}
