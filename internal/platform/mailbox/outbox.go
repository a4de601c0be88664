package mailbox

// Outbox is an unbounded queue of functions from one goroutine, the sender, to the owner of a mailbox. The sender never blocks. The
// functions run in the order in which they are sent, and before those that others have posted. Only the sender's goroutine may use it.
type Outbox struct {
	mailbox *Mailbox
	pending []func()
}

// NewOutbox creates the outbox of a mailbox. A mailbox has at most one outbox.
func NewOutbox(mailbox *Mailbox) *Outbox { return &Outbox{mailbox: mailbox} }

// Send queues a function for the owner of the mailbox.
func (o *Outbox) Send(message func()) {
	o.pending = append(o.pending, message)
	o.Flush()
}

// Flush moves queued functions to the mailbox as long as it has room. Functions that don't fit stay in the outbox until the next call of
// Flush or Send, so the sender calls Flush after each batch of its own work.
func (o *Outbox) Flush() {
	for len(o.pending) > 0 {
		select {
		case o.mailbox.urgent <- o.pending[0]:
			o.pending[0] = nil
			o.pending = o.pending[1:]
		default:
			return
		}
	}
	o.pending = nil
}
