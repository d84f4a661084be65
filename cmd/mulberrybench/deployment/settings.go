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

// Instance is one process of a deployment, with the admin address and the data directory from its
// settings file.
type Instance struct {
	Process
	// AdminAddr is the admin address; an upstream has none.
	AdminAddr string
	// DataDir is the data directory of a control host.
	DataDir string
}

// prepareSettings copies the settings files of all processes into the run directory and returns the
// processes in their starting order.
func prepareSettings(o Options) ([]Instance, error) {
	files, err := filepath.Glob(filepath.Join(o.Config, "processes", "*.ini"))
	if err != nil || len(files) == 0 {
		return nil, errors.Newf("no settings of processes in %s", filepath.Join(o.Config, "processes"))
	}
	var instances []Instance
	for _, f := range files {
		inst, err := prepareInstance(o, f)
		if err != nil {
			return nil, errors.Wrap(err, f)
		}
		instances = append(instances, inst)
	}
	order := map[string]int{KindControl: 0, KindNode: 1, KindUpstream: 2}
	sort.SliceStable(instances, func(i, j int) bool { return order[instances[i].Kind] < order[instances[j].Kind] })
	return instances, nil
}

// prepareInstance copies one settings file into the run directory, adapted to the run.
func prepareInstance(o Options, file string) (Instance, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Instance{}, errors.Wrap(err, "read settings")
	}
	f, err := ini.Load(offsetPorts(text, o.PortOffset))
	if err != nil {
		return Instance{}, errors.Wrap(err, "parse settings")
	}
	inst := Instance{Process: Process{Name: strings.TrimSuffix(filepath.Base(file), ".ini")}}
	inst.Kind, _, _ = strings.Cut(inst.Name, "-")
	var pathErr error
	setPath := func(section, key string, parts ...string) string {
		abs, err := filepath.Abs(filepath.Join(append([]string{o.Run}, parts...)...))
		pathErr = errors.Join(pathErr, err)
		f.Section(section).Key(key).SetValue(abs)
		return abs
	}
	listen := f.Section("listen")
	if inst.Kind != KindUpstream {
		// Key adds the key when it is missing, and an upstream rejects the unknown key "admin".
		inst.AdminAddr = listen.Key("admin").String()
	}
	switch inst.Kind {
	case KindControl:
		inst.Addr = listen.Key("rpc").String()
		inst.DataDir = setPath("control", "data", "data", inst.Name)
	case KindNode:
		inst.Addr = listen.Key("front").String()
		if o.Policy != "" {
			f.Section("measure").Key("policy").SetValue(o.Policy)
		}
	case KindUpstream:
		inst.Addr = listen.Key("http").String()
		setPath("journal", "file", "journal", inst.Name+".log")
	default:
		return inst, errors.Newf("process name %q does not start with control-, node- or upstream-", inst.Name)
	}
	inst.Domain = f.Section(inst.Kind).Key("domain").String()
	path, err := settingsPath(o.Run, inst.Name)
	if err = errors.Join(err, pathErr); err != nil {
		return inst, err
	}
	if o.EditSettings != nil {
		if err := o.EditSettings(inst.Name, f); err != nil {
			return inst, err
		}
	}
	return inst, errors.Wrap(f.SaveTo(path), "write settings")
}

// offsetPorts adds offset to the port of every loopback address in text.
func offsetPorts(text []byte, offset int) []byte {
	return loopbackAddr.ReplaceAllFunc(text, func(addr []byte) []byte {
		port, _ := strconv.Atoi(string(addr[len("127.0.0.1:"):]))
		return []byte("127.0.0.1:" + strconv.Itoa(port+offset))
	})
}
