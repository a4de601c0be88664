package mailbox

// Outbox holds what one goroutine has to say to the owner of a mailbox, in order and without a bound, so that the sender
// never waits for the receiver. What it sends goes before all that others have posted. Only the sender's goroutine may use it.
type Outbox struct {
	to      *Mailbox
	waiting []func()
}

// NewOutbox makes the outbox of a mailbox; a mailbox has one at most.
func NewOutbox(to *Mailbox) *Outbox { return &Outbox{to: to} }

// Send queues a function for the receiver's goroutine.
func (o *Outbox) Send(message func()) {
	o.waiting = append(o.waiting, message)
	o.Flush()
}

// Flush passes on what the mailbox had no room for so far; the sender calls it whenever it has run.
func (o *Outbox) Flush() {
	for len(o.waiting) > 0 {
		select {
		case o.to.first <- o.waiting[0]:
			o.waiting[0] = nil
			o.waiting = o.waiting[1:]
		default:
			return
		}
	}
	o.waiting = nil
}
