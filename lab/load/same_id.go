package load

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"orchiddrift/lab/content"
	"orchiddrift/lab/record"
)

// foreignMoment says when a bad client uses the ID of a hand-in.
type foreignMoment int

// The moments.
const (
	beforeRequest  foreignMoment = iota // and has its answer first
	betweenHalves                       // of the request, and has its answer first
	atTheSameTime                       // on another connection
	afterTheAnswer                      // up to maxForeignDelay later
	foreignMoments
)

// maxForeignDelay is the longest time from an answer to a request of a bad client with its ID.
const maxForeignDelay = 500 * time.Millisecond

// foreignRequest is a request that a bad client makes with the ID of another client's hand-in, asking for something else.
type foreignRequest struct {
	moment  foreignMoment
	delay   time.Duration // with afterTheAnswer
	handIn  *record.HandIn
	request *fasthttp.Request
	target  Target
}

// drawForeign returns the request that a bad client makes with the ID of a hand-in, or nil. request is that of the hand-in, and
// body its body.
func (g *Generator) drawForeign(h *record.HandIn, request *fasthttp.Request, body []byte, to Target) *foreignRequest {
	share := g.World.SameIDShare(g.Clock.Now(), h.Dispatcher)
	if share == 0 || h.Dispatcher < 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(g.World.Seed, xxhash.Sum64String("foreign "+h.ID)))
	if random.Float64() >= share {
		return nil
	}
	other := *h
	other.Foreign, other.Unanswered = true, nil
	if other.PlanIndex = -int(g.foreignCount.Add(1)); other.Key != "" { // a notification of its own, in no order with others
		other.Key += fmt.Sprintf("-foreign%d", -other.PlanIndex)
	}
	f := &foreignRequest{moment: foreignMoment(random.IntN(int(foreignMoments))), delay: time.Duration(random.Int64N(int64(maxForeignDelay))),
		handIn: &other, request: &fasthttp.Request{}, target: to}
	request.CopyTo(f.request)
	f.request.Header.Del("X-Again")
	if other.Key != "" {
		f.request.Header.SetCookie("about", other.Key)
	}
	otherBody, key := otherContent(random, body, string(request.Header.Peek("Idempotency-Key")), g.Content.Body(h.ID+" foreign"))
	if key != "" {
		f.request.Header.Set("Idempotency-Key", key)
	}
	f.request.SetBodyRaw(otherBody)
	if other.Content = content.DigestOf(key, otherBody); other.Content == h.Content {
		return nil
	}
	return f
}

// otherContent returns a body and an idempotency key that differ from the given ones in some way.
func otherContent(random *rand.Rand, body []byte, key string, other []byte) ([]byte, string) {
	switch kind := random.IntN(4); {
	case kind == 0 && len(body) > 0: // the last byte differs
		changed := bytes.Clone(body)
		changed[len(changed)-1] ^= 1
		return changed, key
	case kind == 1:
		return nil, key
	case kind == 2 && key != "":
		return body, key + "-foreign"
	}
	return other, key
}

// send sends the request on a connection of its own and records the answer.
func (f *foreignRequest) send(ctx context.Context, g *Generator) {
	if ctx.Err() != nil {
		return
	}
	f.handIn.SentAt = g.Clock.Now()
	g.Journal.AddHandIn(f.handIn)
	pool := &clientPool{addr: f.target.Addr}
	conn, err := pool.dial(time.Now().Add(answerTimeout))
	if err != nil {
		return
	}
	defer conn.Close()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if _, err := conn.exchange(exchangeRequest{Request: f.request}, resp, time.Now().Add(answerTimeout)); err != nil {
		return
	}
	g.Journal.WithLock(func() { f.handIn.Status, f.handIn.AnsweredAt = resp.StatusCode(), g.Clock.Now() })
}

// at sends the request if this is its moment.
func (f *foreignRequest) at(ctx context.Context, moment foreignMoment, g *Generator) {
	if f != nil && f.moment == moment {
		f.send(ctx, g)
	}
}

// sendAside sends the request in the background if its moment is one that another request does not wait for.
func (f *foreignRequest) sendAside(ctx context.Context, moment foreignMoment, g *Generator) {
	if f == nil || f.moment != moment {
		return
	}
	g.foreign.Go(func() {
		if moment == afterTheAnswer {
			sleep(ctx, f.delay.Seconds())
		}
		f.send(ctx, g)
	})
}

// betweenHalves returns a function that sends the request between the halves of the other one, or nil.
func (f *foreignRequest) betweenHalves(ctx context.Context, g *Generator) func() {
	if f == nil || f.moment != betweenHalves {
		return nil
	}
	sent := false
	return func() {
		if !sent { // once only, also if the other request is sent again
			sent = true
			f.send(ctx, g)
		}
	}
}

// writeInHalves writes a request in two parts and calls between after the first one.
func (c *clientConn) writeInHalves(req *fasthttp.Request, between func()) error {
	var encoded bytes.Buffer
	w := bufio.NewWriter(&encoded)
	if err := req.Write(w); err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	_ = w.Flush() // writing to a buffer cannot fail
	half := encoded.Len() / 2
	if _, err := c.Write(encoded.Bytes()[:half]); err != nil {
		return err
	}
	between()
	_, err := c.Write(encoded.Bytes()[half:])
	return err
}
