package hop_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/placement"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/protocol/hop"
)

// Guards against a field that is lost or mixed up between two nodes.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	ask := hop.Ask{
		ID: "n1-5-7", Service: "archive", Route: "r1", Kind: routes.Upload, Caller: "registry", Priority: 2,
		Objective: 180 * time.Millisecond, Timeout: time.Second, Work: 60 * time.Millisecond, Guessed: true, Elsewhere: 0.25,
	}
	got, err := hop.ParseAsk(ask.Encode())
	is.NoErr(err)
	is.Equal(got, ask)
	reply := hop.Reply{
		Load:    placement.Load{Running: 3, Waiting: 2, Slots: 6, Slowdown: 7, FailureRate: 0.5, Cold: true},
		Refused: "slower", After: 30 * time.Millisecond, Work: 60 * time.Millisecond, NotRun: true, Bad: true, Epoch: "5f",
	}
	back, err := hop.ParseReply(reply.Encode())
	is.NoErr(err)
	is.Equal(back, reply)
}

// Guards against a header of another sender that is taken for a node's.
func FuzzParse(f *testing.F) {
	f.Add(hop.Ask{ID: "a"}.Encode())
	f.Add(hop.Reply{Epoch: "x"}.Encode())
	f.Add(";;;;;;;;")
	f.Fuzz(func(t *testing.T, text string) {
		if a, err := hop.ParseAsk(text); err == nil && len(text) > 0 {
			if _, err := hop.ParseAsk(a.Encode()); err != nil {
				t.Errorf("%q is read and written as %q, which is not readable", text, a.Encode())
			}
		}
		if r, err := hop.ParseReply(text); err == nil {
			if _, err := hop.ParseReply(r.Encode()); err != nil {
				t.Errorf("%q is read and written as %q, which is not readable", text, r.Encode())
			}
		}
	})
}
