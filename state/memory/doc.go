// Package memory divides the memory of a process between all that it buffers. Each buffer has a
// bound of its own, but their sum grows with the number of connections and requests, and a process
// that uses more than its host allows is killed together with the requests of all its callers.
//
// A Budget is the number of bytes that buffers may hold. An Account is the part of it that one
// connection or request holds. It acquires bytes before they are allocated, and its Close returns
// all of them, however the request ends.
//
// An acquisition states a Level, the share of the budget above which it is refused. What callers
// miss least has the lowest level, so it is given up first. Bytes that can't be refused, because a
// request that was passed on must be brought to its end, are taken without a level and leave less
// to the others.
//
// A Share is the part of the budget that the requests of one route hold. One route may hold at most
// shareLimit percent of what a level allows, so that the others find room.
//
// The bytes are those of live buffers. The collector and the runtime need about as much again,
// and NewBudget leaves it to them; SoftLimit is the limit to set for the runtime.
//
// # Usage
//
//	b := memory.NewBudget(memory.Config{ProcessBytes: 284e6, OnShort: closeIdleConnections})
//	a := b.NewAccount(share)
//	defer a.Close()
//	if !a.Acquire(memory.Requests, headBytes, memory.RequestLevel(priority)) {
//		// reject the request: nothing has been passed on
//	}
//
// A nil Budget has no limit, and its accounts are nil. All methods may be called on them.
package memory

//go:generate ../../bin/tools/stringer -type=Kind -linecomment -output=kind_string.go

// Kind tells what bytes are used for.
type Kind uint8

// Kinds of use.
const (
	// Connections are the buffers and goroutines of open connections.
	Connections Kind = iota // connections
	// Heads are the parsed heads of requests and responses.
	Heads // heads
	// Requests are the state of requests in flight and the start of their bodies.
	Requests // requests
	// Copies are bodies of requests that are kept so that they can be sent again.
	Copies // copies
	// Responses are bodies of responses that are held back before they are relayed.
	Responses // responses
	// Outcomes are responses that are kept for an entry node that has lost its connection.
	Outcomes // outcomes
	kindCount
)

// Kinds returns all kinds.
func Kinds() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

// Level is the percentage of the budget above which an acquisition is refused.
type Level int64

// Levels, in the order in which memory is given up.
const (
	// CopyLevel is for what only serves to repeat a request.
	CopyLevel Level = 50
	// HeadLevel is for heads of more than a usual size, which may be sent slowly before there is a
	// request that could be accepted.
	HeadLevel Level = 60
	// ShortLevel is the level above which idle connections are closed.
	ShortLevel Level = 70
	// lowestRequestLevel is for requests of the lowest priorities. Each higher priority has
	// priorityStep more, up to highestRequestLevel.
	lowestRequestLevel  Level = 80
	highestRequestLevel Level = 90
	priorityStep        Level = 5
	// PeerLevel is for requests that another node has accepted.
	PeerLevel Level = 95
	// relievedLevel is the level below which a shortage has ended.
	relievedLevel = HeadLevel
)

// RequestLevel returns the level for new requests of a priority, where 0 is the highest.
func RequestLevel(priority int) Level {
	return max(lowestRequestLevel, highestRequestLevel-priorityStep*Level(max(0, min(priority, 2))))
}

const (
	// DefaultProcessBytes is the memory of a process whose settings don't state it.
	DefaultProcessBytes = 184_000_000
	// softPercent is the share of the memory of a process that the runtime may use. The rest is
	// for the code, the C library, thread stacks, and bytes that the kernel has received but the
	// process has not read.
	softPercent = 60
	// fixedBytes is what a process without load holds: configuration, records of nodes, metrics,
	// log lines, and the buffers of the runtime.
	fixedBytes = 24 << 20
	// collectorFactor is the memory of the runtime relative to live bytes. Below 2, collections
	// take a large part of the processor time.
	collectorFactor = 2
	// shareLimit is the percentage of a level that one route may hold.
	shareLimit = 60
	// minBudgetBytes is the budget of a process with very little memory.
	minBudgetBytes = 8 << 20
)

// SoftLimit returns the limit to set for the runtime of a process with this memory.
func SoftLimit(processBytes int64) int64 { return processBytes / 100 * softPercent }

// budgetBytes returns the budget of a process with this memory.
func budgetBytes(processBytes int64) int64 {
	return max(minBudgetBytes, (SoftLimit(processBytes)-fixedBytes)/collectorFactor)
}
