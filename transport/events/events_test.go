package events_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/mulberrylink/mulberrylink/transport/events"
)

// Guards against lines of go-zero in another format, and against values that aren't
// quoted and break the key=value format.
func TestOneLinePerEvent(t *testing.T) {
	is := is.New(t)
	var buf bytes.Buffer
	l := events.New(&buf, "info", "mulberrynode", "n1")
	events.RedirectGoZero(l)
	l.Info().Str("reason", "two words").Msg("request refused")
	l.Debug().Msg("not written")
	logx.Errorf("broken\nline")
	lines := strings.Split(strings.TrimSpace(buf.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], `level=info event="request refused" program=mulberrynode name=n1 reason="two words"`))
	is.True(strings.Contains(lines[1], `level=error event="broken\nline"`))
}
