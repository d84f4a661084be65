// Package events sets up structured logging for the programs: phuslu/log writes one
// line of key=value pairs for each event. The logger of go-zero can be redirected to
// it, so that a program has a single log format.
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
// or error). Every line contains the program and the name of the process.
func New(w io.Writer, level, program, name string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer:     &log.ConsoleWriter{Writer: w, Formatter: formatLine},
		Context:    log.NewContext(nil).Str("program", program).Str("name", name).Value(),
	}
}

// RedirectGoZero redirects the logger of go-zero to l and disables its periodic
// statistics.
func RedirectGoZero(l *log.Logger) {
	logx.DisableStat()
	logx.SetWriter(&goZeroWriter{log: l})
}

func formatLine(w io.Writer, args *log.FormatterArgs) (int, error) {
	var b strings.Builder
	b.WriteString("time=" + args.Time + " level=" + args.Level)
	if args.Message != "" {
		b.WriteString(" event=" + quote(args.Message))
	}
	for _, kv := range args.KeyValues {
		b.WriteString(" " + kv.Key + "=" + quote(kv.Value))
	}
	b.WriteByte('\n')
	return io.WriteString(w, b.String())
}

// quote quotes s if it is empty or contains white space, a quote or an equals sign.
func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " \t\n\r\"=") {
		return strconv.Quote(s)
	}
	return s
}

// goZeroWriter implements logx.Writer.
type goZeroWriter struct{ log *log.Logger }

func (z *goZeroWriter) Alert(v any) { z.write(z.log.Error(), v, nil) }

func (z *goZeroWriter) Close() error { return nil }

func (z *goZeroWriter) Debug(v any, fields ...logx.LogField) { z.write(z.log.Debug(), v, fields) }

func (z *goZeroWriter) Error(v any, fields ...logx.LogField) { z.write(z.log.Error(), v, fields) }

func (z *goZeroWriter) Info(v any, fields ...logx.LogField) { z.write(z.log.Info(), v, fields) }

func (z *goZeroWriter) Severe(v any) { z.write(z.log.Error(), v, nil) }

func (z *goZeroWriter) Slow(v any, fields ...logx.LogField) { z.write(z.log.Warn(), v, fields) }

func (z *goZeroWriter) Stack(v any) { z.write(z.log.Error(), v, nil) }

func (z *goZeroWriter) Stat(v any, fields ...logx.LogField) { z.write(z.log.Debug(), v, fields) }

func (z *goZeroWriter) write(e *log.Entry, v any, fields []logx.LogField) {
	e = e.Str("source", "gozero")
	for _, f := range fields {
		e = e.Str(f.Key, fmt.Sprint(f.Value))
	}
	e.Msg(fmt.Sprint(v))
}
