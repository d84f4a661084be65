package overlay_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/mulberrylink/mulberrylink/state/overlay"
)

// Guards against problems that are missed, reported without their file and line or hidden by
// others, and against a merge that loses a key. Each archive in testdata holds the files and the
// expected keys or problems.
func TestMerge(t *testing.T) {
	archives, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(archives) == 0 {
		t.Fatalf("no test files: %v", err)
	}
	for _, name := range archives {
		t.Run(filepath.Base(name), func(t *testing.T) {
			is := is.New(t)
			archive, err := txtar.ParseFile(name)
			is.NoErr(err)
			var files []overlay.File
			var want string
			for _, f := range archive.Files {
				if f.Name == "want" {
					want = string(f.Data)
					continue
				}
				files = append(files, overlay.File{Name: f.Name, Data: f.Data})
			}
			cfg, err := overlay.Merge(files[0], files[1:])
			got := listKeys(cfg)
			if err != nil {
				got = err.Error() + "\n"
			}
			is.Equal(got, want)
		})
	}
}

// listKeys lists the effective keys as the Diff from an empty configuration.
func listKeys(cfg *overlay.Config) string {
	if cfg == nil {
		return ""
	}
	var b strings.Builder
	for _, c := range overlay.Diff(&overlay.Config{}, cfg) {
		fmt.Fprintf(&b, "%s %s=%s\n", c.Section, c.Key, c.New)
	}
	return b.String()
}

func mergeSite(t *testing.T, dir string) *overlay.Config {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "site-*.ini"))
	if err != nil || len(names) == 0 {
		t.Fatalf("no overlays in %s: %v", dir, err)
	}
	var files []overlay.File
	for _, n := range append([]string{filepath.Join(dir, "base.ini")}, names...) {
		data, err := os.ReadFile(n)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, overlay.File{Name: n, Data: data})
	}
	cfg, err := overlay.Merge(files[0], files[1:])
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// Guards against deployed configuration files that are invalid or that declare other routes than the
// design page.
func TestSites(t *testing.T) {
	for site, want := range map[string]string{
		"association": "archive GET /patterns,archive GET /stock,archive PUT /patterns,registry GET /grades,registry POST /filings keyed,4 domains",
		"lanterns":    "desk GET /sheets,desk POST /bookings keyed,store GET /batches,store PUT /photos,3 domains",
	} {
		t.Run(site, func(t *testing.T) {
			is := is.New(t)
			cfg := mergeSite(t, filepath.Join("..", "..", "config", site))
			var got []string
			for _, s := range cfg.Services {
				for _, r := range s.Routes {
					item := s.Name + " " + r.Method + " " + r.Path
					if r.Keyed {
						item += " keyed"
					}
					got = append(got, item)
					is.True(r.Idempotent != r.Keyed)
				}
			}
			got = append(got, fmt.Sprint(len(cfg.Domains), " domains"))
			is.Equal(strings.Join(got, ","), want)
		})
	}
}

// Guards against a configuration that changes when it is encoded and decoded, and against a
// truncated one that is accepted.
func TestEncodeRoundTrip(t *testing.T) {
	is := is.New(t)
	cfg := mergeSite(t, "../../config/association")
	cfg.Version = 7
	raw := overlay.Encode(cfg)
	decoded, err := overlay.Decode(raw)
	is.NoErr(err)
	is.Equal(decoded, cfg)
	is.Equal(overlay.Encode(decoded), raw)
	_, err = overlay.Decode(raw[:len(raw)-1])
	is.True(err != nil)
}

// Guards against an encoding that depends on the order of sections in a file.
func TestOrderDoesNotMatter(t *testing.T) {
	is := is.New(t)
	sections := []string{
		"[domain d1]\nregion = r\n", "[domain d2]\nregion = r\n", "[service a]\n", "[service b]\n",
		"[route a GET /x]\n", "[route a GET /y]\n", "[route a PUT /x]\n", "[route b GET /x]\n",
	}
	merge := func() []byte {
		cfg, err := overlay.Merge(overlay.File{Name: "base.ini", Data: []byte(strings.Join(sections, ""))}, nil)
		is.NoErr(err)
		return overlay.Encode(cfg)
	}
	inOrder := merge()
	slices.Reverse(sections)
	is.Equal(merge(), inOrder)
}

// Guards against a key without a unit or a description in the reference for operators.
func TestKeysAreDocumented(t *testing.T) {
	is := is.New(t)
	is.Equal(len(overlay.Keys()), 11)
	for _, k := range overlay.Keys() {
		is.True(k.Key != "" && k.Unit != "" && strings.HasSuffix(k.Doc, "."))
	}
}

// Guards against input that panics Merge.
func FuzzMerge(f *testing.F) {
	f.Add([]byte("[service a]\n[route a GET /]\n[domain d]\nregion=r\n"), []byte("[domain d]\nstate=out\n"))
	f.Add([]byte("[route a"), []byte("[]"))
	f.Fuzz(func(t *testing.T, base, over []byte) {
		cfg, err := overlay.Merge(overlay.File{Name: "b", Data: base}, []overlay.File{{Name: "o", Data: over}})
		if (cfg == nil) == (err == nil) {
			t.Fatal("Merge must return either a configuration or an error")
		}
	})
}
