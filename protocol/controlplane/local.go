package controlplane

import (
	"context"
	"sync"
)

// Applier is the part of a state machine that Local needs.
type Applier interface {
	Apply(index uint64, data []byte) []byte
}

// Local is a Log of a single host that keeps nothing on a disk. It serves
// embedding programs that need no durable state, and tests.
type Local struct {
	addr string

	mu      sync.Mutex
	machine Applier
	index   uint64
}

// NewLocal returns a log that applies every command at once. The address is
// the one that Leader returns.
func NewLocal(addr string, m Applier) *Local {
	return &Local{addr: addr, machine: m}
}

// Propose applies data.
func (l *Local) Propose(_ context.Context, data []byte) ([]byte, Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.machine.Apply(l.index, data), StatusCommitted
}

// Confirm returns true: every command is applied before Propose returns.
func (l *Local) Confirm(context.Context) bool { return true }

// Leader returns this host.
func (l *Local) Leader() (id uint64, addr string, self bool) { return 1, l.addr, true }

// Members returns this host.
func (l *Local) Members() []Member {
	return []Member{{ID: 1, Addr: l.addr, Leader: true, Self: true}}
}
