// Package quota limits the requests of each client account over all nodes. The leader of the control
// hosts holds a token bucket for each account, in an Allocator. Each node draws tokens from it and keeps
// a few of them in a Cache. A request takes one token for each attempt to run it.
//
// Both are step functions without goroutines, network or clock: the caller passes the time with each
// call. Times are readings of a clock that also counts while the host is suspended (state/boottime). Those
// of an Allocator and of a Cache are unrelated: a node's message carries a reading of its own clock, and
// the tokens in the answer expire TokenTTL after that reading, however long the messages took.
//
// In every window of length w, the requests of an account that start are at most
//
//	burst + rate x (w + TokenTTL)
//
// with one leader, since a token is used at most TokenTTL after it was asked for. Where the limit states a
// window, an account whose demand stays above its rate gets the burst in each window and not only once:
//
//	(rate x window + burst) x 1.04 + 6
//
// in every window, and the tokens of TokenTTL. This is the most that the limit allows in each window. The
// bucket is then refilled with burst / window beside the rate. A change of the leader
// adds at most min(burst, 6) - 0.1 s x rate, also if the former leader still answers for ConfirmTTL, and
// standby tokens add at most 0.2 s x rate + 8.
//
// Standby tokens serve requests while no leader answers. They come on top of the bucket, are limited to a
// fifth of a second of the rate and 8 for each account over all nodes, and may be spent only while an ask has
// had no answer for StandbyWait.
//
// # Usage
//
// On the leader:
//
//	a := quota.NewAllocator()
//	a.SetLimits(now, limits)
//	a.Confirm(term, sentAt)                  // a majority has responded to a message sent at sentAt
//	grants, ok := a.Draw(now, node, asks)    // ok is false while leadership is not confirmed
//
// On a node:
//
//	c := quota.NewCache()
//	t := c.Take(now, "north")                // t.Verdict: Granted, Waiting, OverQuota or NoQuota
//	asks := c.Asks(now)                      // the next message to the leader
//	settled := c.Settle(now, at, grants)     // the answer to the message of the reading at
//	c.Return(now, "north", token)            // the request was refused without having run
package quota

import "time"

const (
	// TokenTTL is the time from the reading of the node's clock in an ask until the tokens of the grant
	// expire. The allowed excess of half a second of the rate (a tenth of a window of 5 s) covers it.
	TokenTTL = 300 * time.Millisecond
	// ConfirmTTL is how long an Allocator answers after the sending of a message that a majority has
	// responded to. It is less than the minimum election timeout of 450 ms.
	ConfirmTTL = 400 * time.Millisecond
	// StandbyTTL is the time from the reading of the node's clock in an ask until the standby tokens of
	// the grant expire, unless they are renewed by the next one.
	StandbyTTL = 8 * time.Second
	// StandbyWait is how long an ask must have had no answer before standby tokens are used. An answer
	// takes some milliseconds.
	StandbyWait = 50 * time.Millisecond
)

// Limit is the limit of an account. With a rate of 0 there is none.
type Limit struct {
	// Rate is in requests per second over all nodes, and Burst the number of requests beyond it.
	Rate, Burst float64
	// Window is the time in which rate x Window + Burst requests may run, 0 if only Rate and Burst limit
	// them.
	Window time.Duration
}

// capacity returns the size of the bucket. One token must fit, or no request could ever run.
func (l Limit) capacity() float64 { return max(l.Burst, 1) }

// Ask asks for tokens of an account.
type Ask struct {
	Account string
	// Need is the number of requests that wait for a token.
	Need int
	// Ahead is the number of tokens for requests that are expected soon.
	Ahead int
	// Returned is the number of tokens that the node gives back. They have not expired.
	Returned int
	// Rate is the number of requests per second at this node, including those that were refused, as a
	// mean with the time constant rateMemory.
	Rate float64
	// Standby is the number of standby tokens that the node holds.
	Standby int
}

// Grant is the answer to an Ask.
type Grant struct {
	Account string
	Tokens  int
	// RetryAfter is the time until the node can expect another token. It is set if Tokens is less than
	// the node needs, or if there are no more for now. The node asks for none until then.
	RetryAfter time.Duration
	// Unsure is true if the account may be within its limit although there are no tokens: the leader is
	// new, or has another version of the configuration than the node.
	Unsure bool
	// Standby is the number of standby tokens that the node may hold from now on.
	Standby int
}
