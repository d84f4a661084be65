package main

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"
)

// printLine writes one line of key=value pairs. pairs alternates keys and values.
func printLine(cmd *cli.Command, pairs ...any) {
	fields := make([]string, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		fields = append(fields, fmt.Sprintf("%v=%s", pairs[i], quote(fmt.Sprint(pairs[i+1]))))
	}
	_, _ = fmt.Fprintln(cmd.Root().Writer, strings.Join(fields, " "))
}

// quote returns s as a quoted string if it is empty or contains white space, a quote or an equals
// sign, and unchanged otherwise.
func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " \t\n\r\"=") {
		return strconv.Quote(s)
	}
	return s
}
