package faults

import (
	"embed"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

//go:embed testdata/*.txt
var embedded embed.FS

// Limits of a scenario, so that a mistyped file does not overload the machine.
const (
	maxRate     = 2000
	maxDuration = 2 * time.Minute
)

// Load holds the parameters of the load of a scenario.
type Load struct {
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Timeout  time.Duration
	// StartCold starts the load as soon as the deployment is ready, without waiting for the end of
	// the cold starts.
	StartCold bool
	// KeyedShare is the share of keyed requests; 0 keeps the share in the mix of the site.
	KeyedShare float64
	// ServiceTime is the service time of every request; 0 lets the upstreams draw service times.
	ServiceTime time.Duration
}

// Step is one timed action.
type Step struct {
	At      time.Duration
	Verb    string
	Args    []string
	Options map[string]string
	Line    int
}

// Threshold is an expectation on the value of a figure.
type Threshold struct {
	Name  string
	Op    string
	Value float64
	Line  int
}

// TimingCheck is an expectation on when executions of a target start.
type TimingCheck struct {
	Kind   string // quiet or work
	Target string
	Within time.Duration
	After  time.Duration // time of a step
	Until  time.Duration // time of a step, 0 for no end
	Line   int
}

// Scenario is one parsed scenario.
type Scenario struct {
	Name         string
	Load         Load
	Relays       []string
	Steps        []Step
	Thresholds   []Threshold
	TimingChecks []TimingCheck
}

// Embedded returns the embedded scenarios in the order of their names.
func Embedded() ([]Scenario, error) {
	entries, err := embedded.ReadDir("testdata")
	if err != nil {
		return nil, errors.Wrap(err, "list scenarios")
	}
	var all []Scenario
	for _, e := range entries {
		text, err := embedded.ReadFile(path.Join("testdata", e.Name()))
		if err != nil {
			return nil, errors.Wrap(err, "read scenario")
		}
		s, err := Parse(e.Name(), string(text))
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// Parse parses a scenario and names it after the file without its suffix.
func Parse(file, text string) (Scenario, error) {
	s := Scenario{Name: strings.TrimSuffix(path.Base(file), ".txt")}
	var errs []error
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if err := s.parseStatement(words, i+1); err != nil {
			errs = append(errs, errors.Wrapf(err, "%s:%d", file, i+1))
		}
	}
	if s.Load.Duration == 0 {
		errs = append(errs, errors.Newf("%s: no load statement", file))
	}
	errs = append(errs, s.validateTimingChecks(file)...)
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return s, errors.Join(errs...)
}

func (s *Scenario) parseStatement(words []string, line int) error {
	switch words[0] {
	case "load":
		return s.parseLoad(words[1:])
	case "relay":
		s.Relays = append(s.Relays, words[1:]...)
		return nil
	case "at":
		return s.parseStep(words[1:], line)
	case "expect":
		return s.parseExpect(words[1:], line)
	default:
		return errors.Newf("unknown statement %q, known are load, relay, at, expect", words[0])
	}
}

func (s *Scenario) parseLoad(words []string) error {
	s.Load = Load{Seed: 1, Timeout: 3 * time.Second}
	for _, w := range words {
		key, value, _ := strings.Cut(w, "=")
		var err error
		switch key {
		case "rate":
			s.Load.Rate, err = strconv.ParseFloat(value, 64)
		case "for":
			s.Load.Duration, err = time.ParseDuration(value)
		case "seed":
			s.Load.Seed, err = strconv.ParseUint(value, 10, 32)
		case "timeout":
			s.Load.Timeout, err = time.ParseDuration(value)
		case "keyed":
			s.Load.KeyedShare, err = strconv.ParseFloat(value, 64)
		case "service":
			s.Load.ServiceTime, err = time.ParseDuration(value)
		case "start":
			s.Load.StartCold = value == "cold"
		default:
			err = errors.Newf("unknown key %q of load", key)
		}
		if err != nil {
			return err
		}
	}
	if l := s.Load; l.Rate <= 0 || l.Rate > maxRate || l.Duration <= 0 || l.Duration > maxDuration || l.Timeout <= 0 || l.KeyedShare < 0 || l.KeyedShare > 1 {
		return errors.Newf("rate must be from 0 to %d, for from 0 to %s, timeout above 0, keyed from 0 to 1", maxRate, maxDuration)
	}
	return nil
}

func (s *Scenario) parseStep(words []string, line int) error {
	if len(words) < 3 {
		return errors.New("a step has the form: at TIME VERB TARGET")
	}
	at, err := time.ParseDuration(words[0])
	if err != nil {
		return err
	}
	step := Step{At: at, Verb: words[1], Options: make(map[string]string), Line: line}
	if _, ok := verbs[step.Verb]; !ok {
		return errors.Newf("unknown verb %q", step.Verb)
	}
	for _, w := range words[2:] {
		if key, value, ok := strings.Cut(w, "="); ok {
			step.Options[key] = value
			continue
		}
		step.Args = append(step.Args, w)
	}
	if len(step.Args) == 0 {
		return errors.Newf("%s needs a target", step.Verb)
	}
	s.Steps = append(s.Steps, step)
	return nil
}

func (s *Scenario) parseExpect(words []string, line int) error {
	if len(words) > 0 && (words[0] == "quiet" || words[0] == "work") {
		return s.parseTimingCheck(words, line)
	}
	for _, w := range words {
		threshold := Threshold{Line: line}
		for _, op := range []string{">=", "<=", "="} {
			if name, value, ok := strings.Cut(w, op); ok {
				v, err := strconv.ParseFloat(value, 64)
				if err != nil {
					return errors.Wrapf(err, "parse threshold of %q", name)
				}
				threshold.Name, threshold.Op, threshold.Value = name, op, v
				break
			}
		}
		if !slices.Contains(figureNames, threshold.Name) && !strings.HasPrefix(threshold.Name, "notrun.") {
			return errors.Newf("unknown expectation %q, known are quiet, work, notrun.REASON, %s", w, strings.Join(figureNames, ", "))
		}
		s.Thresholds = append(s.Thresholds, threshold)
	}
	return nil
}

// parseTimingCheck parses KIND TARGET within TIME after TIME [until TIME], where KIND is quiet or
// work.
func (s *Scenario) parseTimingCheck(words []string, line int) error {
	if len(words) < 6 || len(words)%2 != 0 {
		return errors.Newf("%s has the form: %s TARGET within TIME after TIME [until TIME]", words[0], words[0])
	}
	t := TimingCheck{Kind: words[0], Target: words[1], Line: line}
	durations := map[string]*time.Duration{"within": &t.Within, "after": &t.After, "until": &t.Until}
	for i := 2; i < len(words); i += 2 {
		d, ok := durations[words[i]]
		if !ok {
			return errors.Newf("unknown word %q, known are within, after, until", words[i])
		}
		var err error
		if *d, err = time.ParseDuration(words[i+1]); err != nil {
			return err
		}
	}
	s.TimingChecks = append(s.TimingChecks, t)
	return nil
}

// validateTimingChecks checks that the times after and until of timing checks are times of steps.
func (s *Scenario) validateTimingChecks(file string) []error {
	var errs []error
	for _, t := range s.TimingChecks {
		for _, at := range []time.Duration{t.After, t.Until} {
			known := slices.ContainsFunc(s.Steps, func(st Step) bool { return st.At == at })
			if !known && (at != 0 || t.After == 0) {
				errs = append(errs, errors.Newf("%s:%d: no step at %s", file, t.Line, at))
			}
		}
	}
	return errs
}
