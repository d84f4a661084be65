// Package events sets up the log of a program: one line of key=value pairs for
// each event, written by phuslu/log. The logger of go-zero is routed here, so
// that a program has one log format.
//
// # Usage
//
//	l := events.New(os.Stderr, "info", "mulberrynode", "node-registry-1")
//	events.RedirectGoZero(l)
//	l.Info().Str("version", "12").Msg("configuration active")
package events

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/phuslu/log"
	"github.com/zeromicro/go-zero/core/logx"
)

// New returns a logger that writes to w at the given level (debug, info, warn
// or error). Every line carries the program and the name of the process.
func New(w io.Writer, level, program, name string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer:     &log.ConsoleWriter{Writer: w, Formatter: formatLine},
		Context:    log.NewContext(nil).Str("program", program).Str("name", name).Value(),
	}
}

// RedirectGoZero routes the log of go-zero to l and turns off its periodic
// statistics.
func RedirectGoZero(l *log.Logger) {
	logx.DisableStat()
	logx.SetWriter(&zeroWriter{log: l})
}

func formatLine(w io.Writer, a *log.FormatterArgs) (int, error) {
	var b strings.Builder
	b.WriteString("time=" + a.Time + " level=" + a.Level)
	if a.Message != "" {
		b.WriteString(" event=" + quote(a.Message))
	}
	for _, kv := range a.KeyValues {
		b.WriteString(" " + kv.Key + "=" + quote(kv.Value))
	}
	b.WriteByte('\n')
	return io.WriteString(w, b.String())
}

// quote returns s as it is when it is one word, and quoted otherwise.
func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " \t\n\r\"=") {
		return strconv.Quote(s)
	}
	return s
}

// zeroWriter implements logx.Writer.
type zeroWriter struct{ log *log.Logger }

func (z *zeroWriter) Alert(v any) { z.write(z.log.Error(), v, nil) }

func (z *zeroWriter) Close() error { return nil }

func (z *zeroWriter) Debug(v any, fields ...logx.LogField) { z.write(z.log.Debug(), v, fields) }

func (z *zeroWriter) Error(v any, fields ...logx.LogField) { z.write(z.log.Error(), v, fields) }

func (z *zeroWriter) Info(v any, fields ...logx.LogField) { z.write(z.log.Info(), v, fields) }

func (z *zeroWriter) Severe(v any) { z.write(z.log.Error(), v, nil) }

func (z *zeroWriter) Slow(v any, fields ...logx.LogField) { z.write(z.log.Warn(), v, fields) }

func (z *zeroWriter) Stack(v any) { z.write(z.log.Error(), v, nil) }

func (z *zeroWriter) Stat(v any, fields ...logx.LogField) { z.write(z.log.Debug(), v, fields) }

func (z *zeroWriter) write(e *log.Entry, v any, fields []logx.LogField) {
	e = e.Str("source", "gozero")
	for _, f := range fields {
		e = e.Str(f.Key, fmt.Sprint(f.Value))
	}
	e.Msg(fmt.Sprint(v))
}
