package replication

import "time"

const (
	// resendDelay is how long the leader still waits for a call after a later heartbeat was answered. It is longer than a sync on
	// a slow disk usually takes, and far shorter than the timeout of a call.
	resendDelay = 250 * time.Millisecond
	// maxAbandonedCalls limits the calls in flight to a follower that the leader no longer waits for, so that a disk slower than
	// resendDelay is not sent the same changes again and again.
	maxAbandonedCalls = 1
)

// outstandingCall is the latest call to a follower. The leader waits for it while the follower's hasCallInFlight is set.
//
// If the network lost the call, it may still deliver later messages on another connection, while the retransmissions of the call
// have backed off to intervals of seconds. So the leader resends the call soon after a heartbeat that it sent later was answered.
type outstandingCall struct {
	// number identifies the call. It increases with each call to the follower.
	number uint64
	// isResendable is set if the call carries neither a snapshot nor a chunk of one. Those may just take long, and sending them
	// again would use up the rest of a slow link.
	isResendable bool
	// heartbeatAnsweredAt is when the first heartbeat sent after the call was answered. It is valid only if isHeartbeatAnswered is
	// set.
	isHeartbeatAnswered bool
	heartbeatAnsweredAt time.Duration
}

// recordAnsweredHeartbeat records the answer to a heartbeat that was sent while the call of that number was in flight.
func (c *outstandingCall) recordAnsweredHeartbeat(number uint64, now time.Duration) {
	if number == c.number && !c.isHeartbeatAnswered {
		c.isHeartbeatAnswered, c.heartbeatAnsweredAt = true, now
	}
}

// isStuck reports whether the call should be sent again.
func (c *outstandingCall) isStuck(now time.Duration) bool {
	return c.isResendable && c.isHeartbeatAnswered && now-c.heartbeatAnsweredAt >= resendDelay
}

// abandonStuckCall stops waiting for a stuck call, so that the changes are sent again. A late answer is still used if its position
// is beyond the known one, since a disk's position in the log of one leader only increases.
func (e *Engine) abandonStuckCall(follower *followerProgress, now time.Duration) {
	if !follower.hasCallInFlight || follower.abandonedCalls >= maxAbandonedCalls || !follower.call.isStuck(now) {
		return
	}
	follower.hasCallInFlight = false
	follower.abandonedCalls++
}
