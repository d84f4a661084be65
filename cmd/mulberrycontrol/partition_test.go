package main

import (
	"context"
	"testing"
	"time"

	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
)

// Guards against a leader that a partition leaves in the minority and that still responds as the
// leader, or reports a change that it received in the minority as accepted. The cases block the
// messages to the old leader (in), those from it (out), or both.
func TestMinorityLeader(t *testing.T) {
	cases := []struct {
		name    string
		in, out bool
	}{{"both", true, true}, {"in", true, false}, {"out", false, true}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newRelay(t)
			c := newCluster(t, r.listenFor)
			oldLeader := c.leader()
			majority := c.others(oldLeader)
			v := c.applyMany(c.client(), "before", 0, 3)
			begin := time.Now()
			if tc.out {
				r.block(oldLeader, majority...)
			}
			if tc.in {
				for _, p := range majority {
					r.block(p, oldLeader)
				}
			}
			minorityReply := make(chan rawApply, 1)
			go func() { minorityReply <- oldLeader.applyDirect(newChange("alone", v)) }()
			time.Sleep(maxElectionTimeout - time.Since(begin))
			if st, err := oldLeader.status(); err == nil && st.Self {
				t.Error("the leader in the minority responds as leader after the election timeout")
			}
			newLeader := c.leader(majority...)
			t.Logf("cut=%s new_leader_ms=%d", tc.name, time.Since(begin).Milliseconds())
			client := c.client(newLeader)
			v = confirmedVersion(client)
			want := c.applyMany(client, "after", v, 3)
			checkNotServing(t, oldLeader)
			if got := <-minorityReply; got.Status == controlplane.StatusCommitted {
				t.Errorf("change sent to the minority was committed: %+v", got)
			}
			r.heal()
			waitUntil(t, "old leader has the accepted version", func() bool {
				st, err := oldLeader.status()
				return err == nil && st.Version == want
			})
			// If messages from the old leader pass, the majority has received the change and
			// may have accepted it under its new leader.
			if tc.out {
				checkNeverAccepted(t, c, "alone")
			}
		})
	}
}

type rawApply struct {
	Status controlplane.Status     `cbor:"z"`
	State  controlplane.ApplyState `cbor:"s"`
}

// applyDirect sends a change to this host only. It reports a lost response as indeterminate.
func (p *process) applyDirect(change controlplane.Change) rawApply {
	in := struct {
		ID      string `cbor:"i"`
		Version uint64 `cbor:"v"`
		Base    any    `cbor:"b"`
	}{change.ID, change.BaseVersion, change.Base}
	out := rawApply{}
	if err := p.invoke("control/apply", waitTimeout, &in, &out); err != nil {
		out.Status = controlplane.StatusIndeterminate
	}
	return out
}

// checkNotServing checks that a host in the minority neither responds as the leader nor confirms a
// version.
func checkNotServing(t *testing.T, p *process) {
	t.Helper()
	if st, err := p.status(); err == nil && st.Self {
		t.Errorf("%s responds as leader in the minority", p.name)
	}
	var out rawConfirmed
	if err := p.invoke("control/confirmed", 3*time.Second, &struct{}{}, &out); err == nil && out.Status == controlplane.StatusCommitted {
		t.Errorf("%s confirms version %d in the minority", p.name, out.Version)
	}
}

func checkNeverAccepted(t *testing.T, c *cluster, id string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	changes, err := c.client().History(ctx, 100)
	if err != nil {
		t.Fatal(err)
	}
	for _, change := range changes {
		if change.ID == id && change.Accepted {
			t.Errorf("change %s sent to the minority is in the history as version %d", id, change.Version)
		}
	}
}
