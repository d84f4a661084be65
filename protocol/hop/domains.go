package hop

import (
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/coordination/overflow"
)

// maxDomains bounds the failure domains of one header, far above the number in any deployment.
const maxDomains = 64

// maxSlots bounds a number of slots that a node states, so that sums over domains stay finite.
const maxSlots = 1e9

// Origin is what an entry node tells of its failure domain with a request (package overflow).
type Origin struct {
	Domain string
	// Work is that of the callers' requests since the last request to a node of the domain. It is sent
	// in microseconds.
	Work time.Duration
	// Home is the estimate of the domain, sent only to other domains. Its Domain is empty otherwise.
	Home overflow.Estimate
}

// encode returns the domain and the work, followed by the estimate if there is one.
func (o Origin) encode() string {
	text := url.QueryEscape(o.Domain) + "," + strconv.FormatInt(o.Work.Microseconds(), 10)
	if o.Home.Domain != "" {
		text += "," + encodeSlots(o.Home)
	}
	return text
}

// encodeSlots encodes the numbers of slots of an estimate, with one decimal.
func encodeSlots(e overflow.Estimate) string {
	fields := make([]string, 0, 3)
	for _, x := range []float64{e.Demand, e.Usable, e.Used} {
		fields = append(fields, strconv.FormatFloat(x, 'f', 1, 64))
	}
	return strings.Join(fields, ",")
}

// encodeDomains encodes estimates, separated by "|", as the domain, its slots and the age in
// milliseconds.
func encodeDomains(list []overflow.Estimate) string {
	entries := make([]string, 0, len(list))
	for _, e := range list {
		entries = append(entries, url.QueryEscape(e.Domain)+","+encodeSlots(e)+","+formatMillis(e.Age))
	}
	return strings.Join(entries, "|")
}

func (p *fieldParser) slots(s string) float64 {
	x := p.float(s)
	if math.IsNaN(x) {
		p.fail(errors.Newf("number of slots %q", s))
		return 0
	}
	return min(max(0, x), maxSlots)
}

func (p *fieldParser) origin(s string) Origin {
	fields := strings.Split(s, ",")
	if len(fields) != 2 && len(fields) != 5 {
		p.fail(errors.Newf("origin has %d fields, want 2 or 5", len(fields)))
		return Origin{}
	}
	micros := min(max(0, p.int(fields[1])), maxMillis*1000)
	o := Origin{Domain: p.text(fields[0]), Work: time.Duration(micros) * time.Microsecond}
	if len(fields) == 5 {
		o.Home = overflow.Estimate{Domain: o.Domain, Demand: p.slots(fields[2]), Usable: p.slots(fields[3]), Used: p.slots(fields[4])}
	}
	return o
}

func (p *fieldParser) domains(s string) []overflow.Estimate {
	entries := strings.Split(s, "|")
	if len(entries) > maxDomains {
		p.fail(errors.Newf("hop header has %d domains, want at most %d", len(entries), maxDomains))
		return nil
	}
	list := make([]overflow.Estimate, 0, len(entries))
	for _, entry := range entries {
		fields := strings.Split(entry, ",")
		if len(fields) != 5 {
			p.fail(errors.Newf("domain has %d fields, want 5", len(fields)))
			return nil
		}
		list = append(list, overflow.Estimate{
			Domain: p.text(fields[0]), Demand: p.slots(fields[1]), Usable: p.slots(fields[2]), Used: p.slots(fields[3]), Age: max(0, p.millis(fields[4])),
		})
	}
	return list
}
