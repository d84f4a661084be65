package document_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/state/codec"
)

func start(m *document.Machine, service, to string, duration int64) document.Outcome {
	r := &document.Rollout{Service: service, To: to, Duration: duration}
	return document.DecodeOutcome(m.Apply(0, document.Encode(document.Command{Start: r})))
}

func step(m *document.Machine, r document.Rollout) document.Outcome {
	return document.DecodeOutcome(m.Apply(0, document.Encode(document.Command{Step: &r})))
}

func current(m *document.Machine, service string) document.Rollout {
	s, _ := m.Current()
	return *s.Rollout(service)
}

// Guards against an order that is lost with a change of the document or a restore, against one that is
// started twice, and against a second one while the first one runs.
func TestOrders(t *testing.T) {
	is := is.New(t)
	m := document.NewMachine()
	is.Equal(start(m, "b", "v2", 1000), document.Accepted)
	is.Equal(start(m, "a", "v2", 1000), document.Accepted)
	first := current(m, "b")
	is.Equal(start(m, "b", "v2", 1000), document.Accepted)
	is.Equal(start(m, "b", "v2", 2000), document.Conflict)
	is.Equal(start(m, "b", "v3", 1000), document.Conflict)
	is.Equal(start(m, "b", "", 1000), document.Malformed)
	is.Equal(start(m, "b", "v2", 0), document.Malformed)
	is.Equal(current(m, "b"), first)
	is.Equal(apply(m, &document.Change{Version: 1, Replace: true}), document.Accepted)
	restored := document.NewMachine()
	is.NoErr(restored.Restore(m.Snapshot()))
	is.Equal(current(restored, "b"), first)
	ended := first
	ended.State = document.RolloutCompleted
	is.Equal(step(restored, ended), document.Accepted)
	is.Equal(start(restored, "b", "v2", 1000), document.Accepted) // sent again after the end
	is.Equal(current(restored, "b").State, document.RolloutCompleted)
	is.Equal(start(restored, "b", "v3", 1000), document.Accepted)
	is.Equal(current(restored, "b").State, document.RolloutRunning)
	is.True(current(restored, "b").Number > first.Number)
}

// Guards against a step of a former leader that changes a rollout which has ended or been replaced.
func TestLateSteps(t *testing.T) {
	is := is.New(t)
	m := document.NewMachine()
	is.Equal(start(m, "a", "v2", 1000), document.Accepted)
	late := current(m, "a")
	late.Share = 500
	bad := late
	bad.Share = 1001
	is.Equal(step(m, bad), document.Malformed)
	back := late
	back.State, back.Share = document.RolloutRolledBack, 0
	is.Equal(step(m, back), document.Accepted)
	is.Equal(step(m, late), document.Conflict)
	is.Equal(start(m, "a", "v3", 1000), document.Accepted)
	is.Equal(step(m, late), document.Conflict)
	is.Equal(current(m, "a").Share, 0)
}

// Guards against entries that record only the time left and are sent to every node.
func TestProgressIsNoNewRevision(t *testing.T) {
	is := is.New(t)
	m := document.NewMachine()
	is.Equal(start(m, "a", "v2", 1000), document.Accepted)
	s, _ := m.Current()
	progress := current(m, "a")
	progress.Left = 400
	is.Equal(step(m, progress), document.Accepted)
	next, _ := m.Current()
	is.Equal(next.Revision, s.Revision)
	is.Equal(current(m, "a").Left, int64(400))
}

// Guards against a state or a log entry that differs without a rollout from that of earlier versions.
func TestNoRolloutLeavesNoTrace(t *testing.T) {
	is := is.New(t)
	data, err := codec.Marshal(document.State{Version: 1})
	is.NoErr(err)
	fields := make(map[string]any)
	is.NoErr(codec.Unmarshal(data, &fields))
	_, found := fields["u"]
	is.True(!found)
	fields = make(map[string]any)
	is.NoErr(codec.Unmarshal(document.Encode(document.Command{Domain: "d1"}), &fields))
	is.Equal(len(fields), 1)
}
