package hop_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/overflow"
	"github.com/mulberrylink/mulberrylink/coordination/placement"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/protocol/hop"
)

// Guards against a field that is lost or swapped between encoding and parsing.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	request := hop.RequestMeta{
		ExchangeID: "n1-5-7", Service: "archive", Route: "r1", Kind: routes.Upload, CallerService: "registry", Priority: 2,
		Objective: 180 * time.Millisecond, Timeout: time.Second, ServiceTime: 60 * time.Millisecond, ServiceTimeAssumed: true, AlternativeCost: 0.25,
		Fingerprint: 0xfedcba9876543210, Suspicion: hop.Suspicion{Stage: 4, Remaining: time.Minute},
	}
	gotRequest, err := hop.ParseRequestMeta(request.Encode())
	is.NoErr(err)
	is.Equal(gotRequest, request)
	request.Integrity = hop.Integrity{Instance: 0xfedcba98, Malformed: 1.125, Responses: 40.5}
	gotRequest, err = hop.ParseRequestMeta(request.Encode())
	is.NoErr(err)
	is.Equal(gotRequest, request)
	request.Account = "north; \"west\", 100%"
	gotRequest, err = hop.ParseRequestMeta(request.Encode())
	is.NoErr(err)
	is.Equal(gotRequest, request)
	request.Integrity = hop.Integrity{}
	gotRequest, err = hop.ParseRequestMeta(request.Encode())
	is.NoErr(err)
	is.Equal(gotRequest, request)
	withoutFlags := request.Encode()
	request.Promised = true
	gotRequest, err = hop.ParseRequestMeta(request.Encode())
	is.NoErr(err)
	is.Equal(gotRequest, request)
	request.Account, request.Returning, request.Internal = "", true, true
	gotRequest, err = hop.ParseRequestMeta(request.Encode())
	is.NoErr(err)
	is.Equal(gotRequest, request)
	request.Account, request.Returning, request.Promised, request.Internal = "north; \"west\", 100%", false, false, false
	is.Equal(request.Encode(), withoutFlags)
	request.SoundAlternative, request.Trial, request.SoundExtraCost = true, true, -0.125
	request.Integrity.Required, request.Integrity.Missing, request.Integrity.Relapses = 126, 80, 2
	request.Integrity.TrialIn, request.Integrity.ReservedFor = 700*time.Millisecond, 90*time.Second
	gotRequest, err = hop.ParseRequestMeta(request.Encode())
	is.NoErr(err)
	is.Equal(gotRequest, request)
	request.Origin = hop.Origin{Domain: "d;1,|", Work: 16500 * time.Microsecond}
	gotRequest, err = hop.ParseRequestMeta(request.Encode())
	is.NoErr(err)
	is.Equal(gotRequest, request)
	request.Account, request.Origin.Home = "", overflow.Estimate{Domain: "d;1,|", Demand: 41.5, Usable: 48, Used: 39.25}
	gotRequest, err = hop.ParseRequestMeta(request.Encode())
	is.NoErr(err)
	request.Origin.Home.Used = 39.2 // one decimal is sent
	is.Equal(gotRequest, request)
	request.Internal = true
	gotRequest, err = hop.ParseRequestMeta(request.Encode())
	is.NoErr(err)
	is.Equal(gotRequest, request)
	response := hop.ResponseMeta{
		Load:         placement.Load{Running: 3, Waiting: 2, Slots: 6, Slowdown: 7, FailureRate: 0.5, Cold: true},
		RejectReason: "slower", RetryAfter: 30 * time.Millisecond, ServiceTime: 60 * time.Millisecond, NotRun: true, ExchangeFailed: true, Epoch: "5f",
	}
	gotResponse, err := hop.ParseResponseMeta(response.Encode())
	is.NoErr(err)
	is.Equal(gotResponse, response)
	response.Suspicion = hop.Suspicion{Stage: 1, Remaining: 10 * time.Second}
	gotResponse, err = hop.ParseResponseMeta(response.Encode())
	is.NoErr(err)
	is.Equal(gotResponse, response)
	response.Integrity = request.Integrity
	gotResponse, err = hop.ParseResponseMeta(response.Encode())
	is.NoErr(err)
	is.Equal(gotResponse, response)
	response.Suspicion = hop.Suspicion{}
	gotResponse, err = hop.ParseResponseMeta(response.Encode())
	is.NoErr(err)
	is.Equal(gotResponse, response)
	response.Load.RateWait = 120 * time.Millisecond
	gotResponse, err = hop.ParseResponseMeta(response.Encode())
	is.NoErr(err)
	is.Equal(gotResponse, response)
	response.Domains = []overflow.Estimate{{Domain: "d,1", Demand: 10, Usable: 12, Used: 11.5}, {Domain: "d2", Usable: 36, Age: 420 * time.Millisecond}}
	gotResponse, err = hop.ParseResponseMeta(response.Encode())
	is.NoErr(err)
	is.Equal(gotResponse, response)
	response.Integrity, response.Load.RateWait = hop.Integrity{}, 0
	gotResponse, err = hop.ParseResponseMeta(response.Encode())
	is.NoErr(err)
	is.Equal(gotResponse, response)
}

// Guards against a malformed header that is accepted: a value that parses must parse again
// after it has been encoded.
func FuzzParse(f *testing.F) {
	f.Add(hop.RequestMeta{ExchangeID: "a"}.Encode())
	f.Add(hop.ResponseMeta{Epoch: "x"}.Encode())
	f.Add(hop.RequestMeta{Origin: hop.Origin{Domain: "d", Home: overflow.Estimate{Domain: "d", Demand: 1}}}.Encode())
	f.Add(hop.ResponseMeta{Domains: []overflow.Estimate{{Domain: "d", Used: 1}, {Domain: "e"}}}.Encode())
	f.Add(";;;;;;;;")
	f.Fuzz(func(t *testing.T, text string) {
		if m, err := hop.ParseRequestMeta(text); err == nil && len(text) > 0 {
			if _, err := hop.ParseRequestMeta(m.Encode()); err != nil {
				t.Errorf("%q parses and is encoded as %q, which does not parse", text, m.Encode())
			}
		}
		if m, err := hop.ParseResponseMeta(text); err == nil {
			if _, err := hop.ParseResponseMeta(m.Encode()); err != nil {
				t.Errorf("%q parses and is encoded as %q, which does not parse", text, m.Encode())
			}
		}
	})
}

// Guards against a time of another node that overflows and turns a deadline in the future into one
// in the past.
func TestTimesAreBounded(t *testing.T) {
	is := is.New(t)
	meta := hop.RequestMeta{ExchangeID: "x", Service: "s", Route: "r", CallerService: "c"}
	text := strings.Replace(meta.Encode(), "0,0", "-9223372036854775808,9223372036854775807", 1)
	parsed, err := hop.ParseRequestMeta(text)
	is.NoErr(err)
	is.Equal(parsed.Objective, -24*time.Hour)
	is.Equal(parsed.Timeout, 24*time.Hour)
}
