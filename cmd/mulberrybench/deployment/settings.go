package deployment

import (
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

var loopbackAddr = regexp.MustCompile(`127\.0\.0\.1:(\d+)`)

// Instance is one process of a deployment with the addresses from its settings.
type Instance struct {
	Process
	// AdminAddr is the admin address; an upstream has none.
	AdminAddr string
	// DataDir is the data directory of a control host.
	DataDir string
}

// prepare copies the settings of all processes into the run directory and
// returns the processes in the order in which they start.
func prepare(o Options) ([]Instance, error) {
	files, err := filepath.Glob(filepath.Join(o.Config, "processes", "*.ini"))
	if err != nil || len(files) == 0 {
		return nil, errors.Newf("no settings of processes in %s", filepath.Join(o.Config, "processes"))
	}
	var units []Instance
	for _, f := range files {
		u, err := prepareOne(o, f)
		if err != nil {
			return nil, errors.Wrap(err, f)
		}
		units = append(units, u)
	}
	order := map[string]int{KindControl: 0, KindNode: 1, KindUpstream: 2}
	sort.SliceStable(units, func(i, j int) bool { return order[units[i].Kind] < order[units[j].Kind] })
	return units, nil
}

func prepareOne(o Options, file string) (Instance, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Instance{}, errors.Wrap(err, "read settings")
	}
	f, err := ini.Load(shiftPorts(text, o.PortOffset))
	if err != nil {
		return Instance{}, errors.Wrap(err, "parse settings")
	}
	u := Instance{Process: Process{Name: strings.TrimSuffix(filepath.Base(file), ".ini")}}
	u.Kind, _, _ = strings.Cut(u.Name, "-")
	var paths error
	place := func(section, key string, parts ...string) string {
		abs, err := filepath.Abs(filepath.Join(append([]string{o.Run}, parts...)...))
		paths = errors.Join(paths, err)
		f.Section(section).Key(key).SetValue(abs)
		return abs
	}
	listen := f.Section("listen")
	if u.Kind != KindUpstream {
		// Key adds a missing key, which the upstream would refuse.
		u.AdminAddr = listen.Key("admin").String()
	}
	switch u.Kind {
	case KindControl:
		u.Addr = listen.Key("rpc").String()
		u.DataDir = place("control", "data", "data", u.Name)
	case KindNode:
		u.Addr = listen.Key("front").String()
		if o.Policy != "" {
			f.Section("measure").Key("policy").SetValue(o.Policy)
		}
	case KindUpstream:
		u.Addr = listen.Key("http").String()
		place("journal", "file", "journal", u.Name+".log")
	default:
		return u, errors.Newf("%q is not named control-, node- or upstream-", u.Name)
	}
	u.Domain = f.Section(u.Kind).Key("domain").String()
	path, err := settingsPath(o.Run, u.Name)
	if err = errors.Join(err, paths); err != nil {
		return u, err
	}
	if o.EditSettings != nil {
		if err := o.EditSettings(u.Name, f); err != nil {
			return u, err
		}
	}
	return u, errors.Wrap(f.SaveTo(path), "write settings")
}

// shiftPorts adds n to the port of every loopback address.
func shiftPorts(text []byte, n int) []byte {
	return loopbackAddr.ReplaceAllFunc(text, func(addr []byte) []byte {
		port, _ := strconv.Atoi(string(addr[len("127.0.0.1:"):]))
		return []byte("127.0.0.1:" + strconv.Itoa(port+n))
	})
}
