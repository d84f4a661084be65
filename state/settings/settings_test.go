package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/state/settings"
)

type sample struct {
	Listen struct {
		Front string        `ini:"front" required:"true"`
		Idle  time.Duration `ini:"idle" default:"30s" min:"1s" max:"1h"`
		Conns int           `ini:"conns" default:"10" min:"1"`
		Mode  string        `ini:"mode" default:"open" oneof:"open,closed"`
		Seeds []string      `ini:"seeds"`
	} `ini:"listen"`
}

// Guards against errors that do not state their file, line, section and key. Each .ini file in
// testdata has a .want file with the expected errors.
func TestErrorsNameThePlace(t *testing.T) {
	files, err := filepath.Glob("testdata/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatalf("no test files: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			want, err := os.ReadFile(strings.TrimSuffix(file, ".ini") + ".want")
			is.NoErr(err)
			data, err := os.ReadFile(file)
			is.NoErr(err)
			got := "ok"
			f, err := settings.Parse(filepath.Base(file), data)
			if err == nil {
				err = settings.Decode(f, &sample{})
			}
			if err != nil {
				got = err.Error()
			}
			is.Equal(got, strings.TrimSpace(string(want)))
		})
	}
}

// Guards against a default that is not applied and against empty items in a list.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	f, err := settings.Parse("a.ini", []byte("[listen]\nfront = 127.0.0.1:1\nseeds = a, b,,c\n"))
	is.NoErr(err)
	var s sample
	is.NoErr(settings.Decode(f, &s))
	is.Equal(s.Listen.Idle, 30*time.Second)
	is.Equal(s.Listen.Seeds, []string{"a", "b", "c"})
}

// Guards against input that panics Parse or Decode.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[listen]\nfront = a\n"))
	f.Add([]byte("[a\n=b"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		file, err := settings.Parse("fuzz.ini", data)
		if err == nil {
			_ = settings.Decode(file, &sample{})
		}
	})
}
