package roles

import (
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/comparenodes"
	"gannetline/internal/controlcalls"
	"gannetline/internal/daybook"
	"gannetline/internal/keyowner"
	"gannetline/internal/keystore"
	"gannetline/internal/mailbox"
	"gannetline/internal/ownercalls"
	"gannetline/internal/planbook"
	"gannetline/internal/poolowner"
	"gannetline/internal/queuerules"
	"gannetline/internal/siblingprobe"
	"gannetline/internal/siblingwire"
	"gannetline/internal/span"
	"gannetline/internal/stewardkeys"
)

const handOver = 400 * time.Millisecond

// Steward keeps control keys and schedules the pools it owns, until SIGTERM.
func Steward(path string, options ...Option) error {
	b, err := newBase(path, "steward", options...)
	if err != nil {
		return err
	}
	control, err := b.listen("control-plane", b.settings.Listen.Control)
	if err != nil {
		return err
	}
	folder := b.settings.DataDirectory
	if folder == "" {
		if folder, err = os.MkdirTemp("", "gannetline"); err != nil {
			return errors.Annotate(err, "field data-directory is empty, and no other folder can be made")
		}
	}
	store, err := keystore.Open(folder)
	if err != nil {
		return errors.Annotate(err, "field data-directory")
	}
	defer store.Close()
	replicas, err := keyowner.NewReplicas(mailbox.New(4096), store, b.clock, keyowner.DefaultTiming.Lease)
	if err != nil {
		return err
	}
	book := planbook.New(b.caller, b.clock, b.log, func(page *planbook.Page) { b.node.HoldsPlan(page.Fact.Version) })
	book.Handle(b.inner)
	b.join(siblingwire.Member{Role: "steward", Control: b.settings.Listen.Control, Disk: store.Disk()}, siblingprobe.OnPlanAhead(book.Ahead))
	rules, err := queuerules.Compile(b.settings.QueueRules)
	if err != nil {
		return errors.Annotate(err, "field queue-rules")
	}
	pool := []poolowner.Option{poolowner.WithRules(rules)}
	if b.settings.RecordDay {
		writer := daybook.NewWriter(filepath.Join(folder, "day.jsonl"), b.settings.NodeName, b.settings.RecordWords)
		b.tree.Add("recording", writer.Run)
		pool = append(pool, poolowner.WithRecorder(writer))
	}
	ring := stewardkeys.New(stewardkeys.Config{Clock: b.clock, Log: b.log, Store: store, Name: b.settings.NodeName, Caller: b.caller,
		Node: b.node, Book: book, Timing: poolowner.TimingFrom(b.settings), Replicas: replicas, Pool: pool})
	ring.Handle(b.inner)
	comparenodes.Handle(b.inner, comparenodes.Sources{View: b.node.View, Page: book.Page, Ring: ring.Beliefs})
	outer := http.NewServeMux()
	outer.Handle("/v1/configuration/", controlcalls.Handler(ownercalls.New(b.caller, b.clock, b.node.View)))
	outer.Handle(siblingwire.Prefix, b.inner)
	b.tree.Add("replicas", func(life span.Span) error {
		replicas.Box().Run(life, b.clock, mailbox.Owner{Every: time.Minute})
		return nil
	})
	b.tree.Add("plan", book.Run)
	b.tree.Add("keys", ring.Run)
	b.tree.Add("control-calls", serving(control, b.meter.Handler(outer)))
	if b.settings.InitialStart && store.Bare() {
		b.tree.Add("first-voters", func(life span.Span) error { ring.FoundFirst(life, b.settings.Seeds); return nil })
	}
	return b.run(func() {
		ring.Leave()
		<-b.clock.After(handOver)
	})
}
