package replication

import "time"

const (
	// resendDelay is how long after an answered heartbeat the call that it overtook is still waited for. It is longer than a
	// sync on a slow disk usually takes, and far shorter than the limit of a call.
	resendDelay = 250 * time.Millisecond
	// maxOvertakenCalls is how many calls to a follower may be under way that are no longer waited for, so that a disk that is
	// slower than resendDelay is not given the same changes without end.
	maxOvertakenCalls = 1
)

// outstandingCall is the one call to a follower that the leader waits for; it counts only while the follower is busy.
//
// A network that lost the call may carry what is sent after it, on another connection: retransmissions of the first are then
// seconds away, as their pauses have grown while nothing came through. So once a heartbeat that was sent after the call has
// been answered, the call is soon sent again.
type outstandingCall struct {
	// number tells the calls to a follower apart; it rises with each.
	number uint64
	// isResendable tells that the call carries no snapshot and no chunk of one. Those may simply take long, and sending them
	// again would take what is left of a slow link.
	isResendable bool
	// overtakenAt is when the first heartbeat that was sent after the call was answered; it counts only if isOvertaken.
	isOvertaken bool
	overtakenAt time.Duration
}

// noteAnsweredHeartbeat notes that a heartbeat has been answered that was sent beside the call of that number.
func (c *outstandingCall) noteAnsweredHeartbeat(number uint64, now time.Duration) {
	if number == c.number && !c.isOvertaken {
		c.isOvertaken, c.overtakenAt = true, now
	}
}

// isStuck tells whether the call should be sent again.
func (c *outstandingCall) isStuck(now time.Duration) bool {
	return c.isResendable && c.isOvertaken && now-c.overtakenAt >= resendDelay
}

// giveUpStuckCall no longer waits for a call that heartbeats have overtaken, so that what the follower lacks is sent again. Its
// answer still counts if it comes and tells of more than is known, as a disk's position in the log of one leader only rises.
func (e *Engine) giveUpStuckCall(follower *followerProgress, now time.Duration) {
	if !follower.isBusy || follower.overtakenCalls >= maxOvertakenCalls || !follower.call.isStuck(now) {
		return
	}
	follower.isBusy = false
	follower.overtakenCalls++
}
