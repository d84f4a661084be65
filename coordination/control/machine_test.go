package control

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Small limits that random command sequences reach.
const (
	testMaxClaims        = 4
	testMaxResponseBytes = 60
)

func newTestMachine() *Machine {
	m := NewMachine()
	m.claims = newClaims(testMaxClaims, testMaxResponseBytes)
	return m
}

// model is a simple reference implementation of Machine. It searches linearly where the machine
// keeps indexes.
type model struct {
	now      int64
	version  uint64
	changes  map[string]ChangeRecord
	claims   map[string]*claimRecord
	finished []string // claims with a stored response, oldest first
}

func (m *model) advance(now int64) {
	m.now = max(m.now, now)
	for id, r := range m.claims {
		if r.Deadline <= m.now {
			m.dropResponse(id)
			delete(m.claims, id)
		}
	}
}

func (m *model) dropResponse(id string) {
	for i, o := range m.finished {
		if o == id {
			m.finished = append(m.finished[:i:i], m.finished[i+1:]...)
			return
		}
	}
}

func (m *model) change(c *ChangeCommand) Result {
	previous, known := m.changes[c.ID]
	switch {
	case known && previous.Fingerprint != c.Fingerprint:
		return Result{Code: Reused, Version: m.version}
	case known:
		return previous.result()
	}
	rec := ChangeRecord{Fingerprint: c.Fingerprint, Version: m.version}
	if c.BaseVersion == m.version {
		m.version++
		rec.Accepted, rec.Version = true, m.version
	}
	m.changes[c.ID] = rec
	return rec.result()
}

func (m *model) claim(cmd *ClaimCommand) Result {
	id := claimID(cmd.Service, cmd.Key)
	r, ok := m.claims[id]
	sameAttempt := ok && r.Holder == cmd.Holder && r.RequestID == cmd.RequestID
	if cmd.Deadline <= m.now || !ok && len(m.claims) >= testMaxClaims || sameAttempt && r.State == claimReleased {
		return Result{Code: Refused}
	}
	if !ok || r.State == claimReleased {
		m.claims[id] = &claimRecord{Fingerprint: cmd.Fingerprint, Holder: cmd.Holder, RequestID: cmd.RequestID, Deadline: cmd.Deadline}
		return Result{Code: Granted, Holder: cmd.Holder, RequestID: cmd.RequestID}
	}
	res := Result{Code: Pending, Holder: r.Holder, RequestID: r.RequestID}
	switch {
	case r.Fingerprint != cmd.Fingerprint:
		res.Code = Mismatch
	case r.State == claimFinished:
		res.Code, res.Response = Finished, r.Response
	case r.State == claimRan:
		res.Code = Ran
	case sameAttempt:
		res.Code = Granted
	}
	return res
}

func (m *model) finish(cmd *FinishCommand) Result {
	id := claimID(cmd.Service, cmd.Key)
	r, ok := m.claims[id]
	if !ok || r.Holder != cmd.Holder || r.RequestID != cmd.RequestID || r.State == claimReleased {
		return Result{Code: Ignored}
	}
	if r.State != claimGranted {
		return Result{Code: Recorded}
	}
	r.State = claimRan
	if cmd.Response != nil && len(cmd.Response.Body) <= MaxResponseBodyBytes {
		r.State, r.Response = claimFinished, cmd.Response
		m.finished = append(m.finished, id)
	}
	for m.responseBytes() > testMaxResponseBytes {
		oldest := m.claims[m.finished[0]]
		oldest.State, oldest.Response = claimRan, nil
		m.finished = m.finished[1:]
	}
	return Result{Code: Recorded}
}

func (m *model) responseBytes() int {
	n := 0
	for _, id := range m.finished {
		n += len(m.claims[id].Response.Body)
	}
	return n
}

func (m *model) release(cmd *ReleaseCommand) Result {
	id := claimID(cmd.Service, cmd.Key)
	r, ok := m.claims[id]
	switch {
	case ok && (r.Holder != cmd.Holder || r.RequestID != cmd.RequestID || r.State == claimFinished || r.State == claimRan):
		return Result{Code: Ignored}
	case ok && r.State == claimReleased:
		return Result{Code: Recorded}
	case !ok && (cmd.Deadline <= m.now || len(m.claims) >= testMaxClaims):
		return Result{Code: Ignored}
	}
	m.claims[id] = &claimRecord{State: claimReleased, Holder: cmd.Holder, RequestID: cmd.RequestID, Deadline: cmd.Deadline}
	return Result{Code: Recorded}
}

func (m *model) apply(c Command) Result {
	m.advance(c.Now)
	switch {
	case c.Change != nil:
		return m.change(c.Change)
	case c.Claim != nil:
		return m.claim(c.Claim)
	case c.Finish != nil:
		return m.finish(c.Finish)
	default:
		return m.release(c.Release)
	}
}

// drawCommand draws from few names, so that commands affect the same keys and changes.
func drawCommand(t *rapid.T, now int64, version uint64) Command {
	pick := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
	key := fmt.Sprint("k", pick("key", testMaxClaims+1))
	holder, requestID := fmt.Sprint("n", pick("holder", 4)/3), fmt.Sprint("r", pick("request", 2))
	deadline := now + int64(pick("ttl", 200))
	c := Command{Now: now + int64(pick("step", 8)) - 3}
	switch pick("kind", 8) {
	case 0:
		from := version + uint64(pick("from", 3)) - min(version, 1)
		c.Change = &ChangeCommand{ID: fmt.Sprint("c", pick("change", 20)), BaseVersion: from, Fingerprint: uint64(pick("files", 2)), EncodedConfig: []byte("raw")}
	case 1, 2, 3:
		c.Claim = &ClaimCommand{Service: "s", Key: key, Fingerprint: uint64(pick("print", 4) / 3), Holder: holder, RequestID: requestID, Deadline: deadline}
	case 4, 5, 6:
		var resp *Response
		if size := pick("body", 40); size > 4 {
			resp = &Response{Status: 200, Body: bytes.Repeat([]byte("x"), size)}
		}
		c.Finish = &FinishCommand{Service: "s", Key: key, Holder: holder, RequestID: requestID, Response: resp}
	default:
		c.Release = &ReleaseCommand{Service: "s", Key: key, Holder: holder, RequestID: requestID, Deadline: deadline}
	}
	return c
}

// Guards against a claim that is granted twice, two changes that are accepted for one version, a
// resent change that is applied again, and state that differs between a host that applied every
// command and one that was restored from a snapshot.
func TestMachineFollowsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newTestMachine(), newTestMachine()
		m := &model{changes: make(map[string]ChangeRecord), claims: make(map[string]*claimRecord)}
		now := int64(1_000)
		for i := range rapid.IntRange(1, 150).Draw(t, "steps") {
			c := drawCommand(t, now, m.version)
			now = max(now, c.Now)
			data := Encode(c)
			got := a.Apply(uint64(i+1), data)
			if want := mustEncode(m.apply(c)); !bytes.Equal(got, want) {
				g, _ := DecodeResult(got)
				w, _ := DecodeResult(want)
				t.Fatalf("command %d: got %+v, want %+v", i, g, w)
			}
			if !bytes.Equal(b.Apply(uint64(i+1), data), got) {
				t.Fatalf("command %d: the restored machine returns another result", i)
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				snap := a.Snapshot()
				b = newTestMachine()
				if err := b.Restore(snap); err != nil {
					t.Fatal(err)
				}
			}
			if !bytes.Equal(a.Snapshot(), b.Snapshot()) {
				t.Fatalf("command %d: snapshots differ", i)
			}
			if counted := a.claims.responseBytes; counted != m.responseBytes() {
				t.Fatalf("command %d: the machine counts %d response bytes, want %d", i, counted, m.responseBytes())
			}
		}
	})
}

// Guards against a snapshot that exceeds a limit of the decoder, and against memory that grows
// with the number of commands on one key.
func TestManyClaims(t *testing.T) {
	is := is.New(t)
	m := NewMachine()
	const n = 140_000 // more than the 131,072 elements the decoder allows in an array
	for i := range n {
		m.claims.put(&claimRecord{ID: fmt.Sprint("s\n", i), Deadline: int64(i + 1)})
	}
	restored := NewMachine()
	is.NoErr(restored.Restore(m.Snapshot()))
	is.Equal(restored.ClaimCount(), n)
	one := newTestMachine()
	for i := range 20_000 {
		one.claims.put(&claimRecord{ID: "s\nk", Deadline: int64(1_000_000 + i)})
	}
	is.True(len(one.claims.deadlines) <= 2+minCompactEntries)
}

// Guards against malformed input that changes the state or panics.
func TestDamagedInput(t *testing.T) {
	is := is.New(t)
	m := NewMachine()
	before := m.Snapshot()
	for _, data := range [][]byte{nil, {0xff}, Encode(Command{}), []byte("text")} {
		res, err := DecodeResult(m.Apply(1, data))
		is.NoErr(err)
		is.Equal(res.Code, BadCommand)
	}
	is.True(m.Restore([]byte("text")) != nil)
	is.Equal(m.Snapshot(), before)
}

// Guards against claims that expire early because the wall clock of a host jumps or is wrong at
// its start.
func TestClockIgnoresWallClock(t *testing.T) {
	is := is.New(t)
	m := NewMachine()
	wall := time.UnixMicro(1_000_000)
	c := NewClock(m, func() time.Time { return wall })
	is.Equal(c.Micros(), int64(1_000_000))
	m.Apply(1, Encode(Command{Now: c.Micros()}))
	wall = wall.Add(time.Second)
	is.Equal(c.Micros(), int64(2_000_000))
	wrong := NewClock(m, func() time.Time { return wall.AddDate(50, 0, 0) })
	is.Equal(wrong.Micros(), int64(1_000_000))
	m.Apply(2, Encode(Command{Now: 9_000_000}))
	is.Equal(c.Micros(), int64(9_000_000))
}
