package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/internal/testresponse"
	"github.com/mulberrylink/mulberrylink/transport/exchange"
)

var (
	grammarSeed  = flag.Uint64("grammar.seed", 1, "seed of TestOnlyResponsesAreReturned")
	grammarCount = flag.Int("grammar.count", 4000, "number of responses in TestOnlyResponsesAreReturned")
)

// fetch sends a request to an upstream that answers with the given pieces and, unless it keeps the
// connection open, closes it. It returns the status and the whole body.
func fetch(p *exchange.Pool, keepOpen bool, pieces ...string) (status int, body string, err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = lis.Close() }()
	done := make(chan struct{})
	defer close(done)
	go func() {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		for i, piece := range pieces {
			if i > 0 {
				time.Sleep(time.Millisecond)
			}
			_, _ = io.WriteString(c, piece)
		}
		if keepOpen {
			<-done
		}
	}()
	resp, err := p.Do(context.Background(), &exchange.Request{
		Addr: lis.Addr().String(), Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(5 * time.Second),
		Match: func(h http.Header) bool { return h.Get("X-Exchange") == "a" },
	})
	if err != nil {
		return 0, "", err
	}
	defer resp.Close()
	body = string(resp.Body)
	if resp.Rest != nil {
		rest, err := io.ReadAll(resp.Rest)
		return resp.Status, body + string(rest), err
	}
	return resp.Status, body, nil
}

func newGrammarPool() *exchange.Pool {
	return exchange.NewPool(exchange.Config{DialTimeout: time.Second, BufferBytes: 64, IdleTimeout: time.Minute, MaxUndelimitedBytes: 1 << 20})
}

// readHeads returns the quoted texts of a data file.
func readHeads(t *testing.T, path string) (heads []string) {
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		head, err := strconv.Unquote(line)
		if err != nil {
			t.Fatalf("%s: %s: %v", path, line, err)
		}
		heads = append(heads, head)
	}
	return heads
}

// pieces cuts a text in two at each place, and once into single bytes.
func pieces(text string) [][]string {
	all := [][]string{{text}, strings.Split(text, "")}
	if len(text) > 1 {
		all = append(all, []string{text[:len(text)-1], text[len(text)-1:]})
	}
	return all
}

// Guards against a caller that waits until its deadline for a response, or gets a success, after
// the upstream has sent a byte that no response can have at that place.
func TestMalformedHeadEndsAtItsFirstWrongByte(t *testing.T) {
	p := newGrammarPool()
	for _, head := range readHeads(t, "testdata/heads/malformed.txt") {
		for _, parts := range pieces(head) {
			start := time.Now()
			status, _, err := fetch(p, true, parts...)
			var stageErr *exchange.StageError
			if !errors.As(err, &stageErr) || stageErr.Stage != exchange.ResponseBegun || time.Since(start) > 2*time.Second {
				t.Errorf("%q in %d pieces: status %d, error %v after %v; want stage %v at once", head, len(parts), status, err, time.Since(start), exchange.ResponseBegun)
			}
		}
	}
}

// Guards against a check of heads that refuses well-formed responses.
func TestUnusualHeadsAreAccepted(t *testing.T) {
	is := is.New(t)
	p := newGrammarPool()
	for _, text := range readHeads(t, "testdata/heads/accepted.txt") {
		for _, parts := range pieces(text) {
			status, body, err := fetch(p, false, parts...)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(body, "ok")
		}
	}
}

// Guards against bytes that are passed on as a response because the parser in use accepts more
// than the grammar, and against responses that a check of the grammar refuses.
func TestOnlyResponsesAreReturned(t *testing.T) {
	rnd := rand.New(rand.NewPCG(*grammarSeed, 1))
	examples := testresponse.Examples("X-Exchange: a", "Test-Signed: yes")
	p := newGrammarPool()
	returned := 0
	for i := range *grammarCount {
		raw := testresponse.Spoil(rnd, examples[rnd.IntN(len(examples))])
		want, wantErr := testresponse.ReadFinal(raw, func(r testresponse.Response) bool {
			return len(r.Fields["x-exchange"]) > 0 && r.Fields["x-exchange"][0] == "a"
		})
		status, body, err := fetch(p, false, raw)
		if fmt.Sprint(status, body, err == nil) != fmt.Sprint(want.Status, want.Body, true) && err == nil || (err == nil) != (wantErr == nil) {
			t.Errorf("seed %d, response %d, %q: got status %d, body %q, error %v; want status %d, body %q, error %v",
				*grammarSeed, i, raw, status, body, err, want.Status, want.Body, wantErr)
		}
		if err == nil {
			returned++
		}
	}
	t.Logf("%d of %d responses returned", returned, *grammarCount)
	if returned < *grammarCount/10 {
		t.Errorf("only %d responses were returned", returned)
	}
}
