package controlplane

import (
	"context"
	"sync"
)

// Applier is the state machine of a LocalLog.
type Applier interface {
	Apply(index uint64, data []byte) []byte
}

// LocalLog is an in-memory Log of a single host, for tests and for embedding programs that need no
// durable state.
type LocalLog struct {
	addr string

	mu      sync.Mutex
	machine Applier
	index   uint64
}

// NewLocalLog returns a log that applies each command immediately to m. Leader and Members return
// addr as the address of the host.
func NewLocalLog(addr string, m Applier) *LocalLog {
	return &LocalLog{addr: addr, machine: m}
}

// Propose applies data.
func (l *LocalLog) Propose(_ context.Context, data []byte) ([]byte, Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.machine.Apply(l.index, data), StatusCommitted
}

// ReadBarrier returns true, because every command is applied before Propose returns.
func (l *LocalLog) ReadBarrier(context.Context) bool { return true }

// Leader returns this host.
func (l *LocalLog) Leader() (id uint64, addr string, self bool) { return 1, l.addr, true }

// Members returns this host.
func (l *LocalLog) Members() []Member {
	return []Member{{ID: 1, Addr: l.addr, Leader: true, Self: true}}
}
