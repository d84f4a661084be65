package overflow_test

import (
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestScripts runs the scenarios of testdata in virtual time, each with the package in use and without it
// (off). The first lines of each file describe the failure that it guards against.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios found: %v", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			s := &script{t: t}
			s.run(string(text))
		})
	}
}

// script is a scenario, with its results with the package (on) and without it (off).
type script struct {
	t       *testing.T
	line    int
	length  time.Duration
	on, off *model
}

func (s *script) number(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.t.Fatalf("line %d: %v", s.line, err)
	}
	return x
}

func (s *script) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatalf("line %d: %v", s.line, err)
	}
	return d
}

// options splits words of the form key=value.
func options(words []string) map[string]string {
	m := make(map[string]string)
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		m[k] = v
	}
	return m
}

func (s *script) run(text string) {
	m := &model{slots: 4, scale: 1}
	for i, line := range strings.Split(text, "\n") {
		s.line = i + 1
		line, _, _ = strings.Cut(line, "#")
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		switch f[0] {
		case "domain":
			o := options(f[2:])
			m.domains = append(m.domains, &domain{
				name: f[1], nodes: int(s.number(o["nodes"])), rate: s.number(o["rate"]), phase: s.number(o["phase"]),
				upstreams: map[string]int{"desk": int(s.number(o["desk"])), "ledger": int(s.number(o["ledger"]))},
			})
		case "swing":
			m.swing = s.number(f[1])
		case "scale":
			m.scale = s.number(f[1])
		case "disturb":
			m.disturb = s.number(f[1])
		case "link":
			m.linkKBps = s.number(f[1])
		case "lost", "burst":
			s.event(m, f)
		case "run":
			s.length = s.duration(f[1])
			s.on, s.off = s.simulate(m, true), s.simulate(m, false)
		case "expect":
			s.expect(f[1:])
		default:
			s.t.Fatalf("line %d: unknown command %q", s.line, f[0])
		}
	}
}

func (s *script) event(m *model, f []string) {
	o := options(f[2:])
	for _, d := range m.domains {
		if d.name != f[1] {
			continue
		}
		i := interval{from: s.duration(o["from"]), to: s.duration(o["to"])}
		if f[0] == "lost" {
			d.lost = append(d.lost, i)
		} else {
			i.rate = s.number(o["rate"])
			d.bursts = append(d.bursts, i)
		}
	}
}

func (s *script) simulate(from *model, on bool) *model {
	m := &model{domains: from.domains, slots: from.slots, swing: from.swing, scale: from.scale, linkKBps: from.linkKBps, disturb: from.disturb, on: on}
	synctest.Test(s.t, func(*testing.T) {
		m.build(20261206)
		m.run(s.length)
	})
	return m
}

// expect checks a line such as "expect refused < 0.5 off from=3s to=9s domain=a": a measure is below or
// above a number, or that number times the measure without the package.
func (s *script) expect(f []string) {
	words, filter := f, map[string]string{}
	for i, w := range f {
		if strings.Contains(w, "=") {
			words, filter = f[:i], options(f[i:])
			break
		}
	}
	bound, off := s.number(words[2]), s.measure(s.off, words[0], filter)
	if len(words) > 3 {
		bound *= off
	}
	got := s.measure(s.on, words[0], filter)
	s.t.Logf("%s: %.4g (off %.4g)", strings.Join(f, " "), got, off)
	if ok := words[1] == "<" && got <= bound || words[1] == ">" && got >= bound; !ok {
		s.t.Errorf("line %d: %s: %.4g, bound %.4g", s.line, strings.Join(f, " "), got, bound)
	}
}

func (s *script) measure(m *model, name string, filter map[string]string) float64 {
	from, to := time.Duration(0), s.length
	if v := filter["from"]; v != "" {
		from = s.duration(v)
	}
	if v := filter["to"]; v != "" {
		to = s.duration(v)
	}
	const window = 500 * time.Millisecond
	windows := make([]float64, max(1, int((to-from)/window)))
	n, sum := 0.0, 0.0
	for _, r := range m.results {
		if r.start < from || r.start >= to || filter["domain"] != "" && filter["domain"] != r.domain {
			continue
		}
		n++
		value := false
		switch name {
		case "intime":
			value = r.inTime
		case "late":
			value = r.answered && !r.inTime
		case "refused":
			value = !r.answered
		case "out", "swing":
			value = r.out
		case "tries":
			sum += float64(r.tries)
		case "kib":
			sum += r.outKiB
		case "foreign":
			sum += float64(r.foreign)
		case "hops":
			sum += float64(r.hops)
		case "hold": // mean time until a refusal, in ms
			if r.answered {
				n--
			} else {
				sum += float64(r.refusedAfter.Microseconds()) / 1000
			}
		case "peak":
		default:
			s.t.Fatalf("line %d: unknown measure %q", s.line, name)
		}
		if value {
			sum++
			windows[min(int((r.start-from)/window), len(windows)-1)]++
		}
	}
	switch name {
	case "peak": // highest use of a link
		for _, p := range m.peak {
			sum = max(sum, p)
		}
		return sum
	case "swing": // deviation of the requests that leave in half a second, in units of that of a Poisson process
		mean, square := sum/float64(len(windows)), 0.0
		for _, w := range windows {
			square += (w - mean) * (w - mean)
		}
		return math.Sqrt(square / float64(len(windows)) / max(mean, 1))
	}
	return sum / max(n, 1)
}
