package catalog_test

import (
	"time"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
)

const (
	// sendTimeout is the time after which a message to a stopped daemon fails.
	sendTimeout = 2500 * time.Millisecond
	// storeCallTimeout is the time after which a call to the platform without a response fails.
	storeCallTimeout = 1500 * time.Millisecond
)

// unansweredRequest is a message or a call to the platform without an answer. Its sender is told at failsAt.
type unansweredRequest struct {
	failsAt time.Time
	failure effect.Event
}

// asker is the sender of a message that has not been answered.
type asker struct {
	from    *node
	request effect.RequestID
}

// deliver hands a message to its receiver. It is lost if the receiver is stopped or the connection is silent.
func (sim *simulation) deliver(from *node, e effect.Send) {
	fail := unansweredRequest{sim.now.Add(sendTimeout), effect.SendDone{Request: e.Request}}
	if from.silentPeers[e.Address] {
		delete(from.silentPeers, e.Address)
		from.unanswered = append(from.unanswered, fail)
		return
	}
	for _, to := range sim.nodes {
		if to.address == e.Address && !to.stopped && !to.peersUnreachable && !from.peersUnreachable {
			if sim.latency > 0 {
				to.inbox = append(to.inbox, delayedMessage{sim.now.Add(sim.latency), from, e})
			} else {
				sim.receive(to, from, e)
			}
			return
		}
	}
	from.unanswered = append(from.unanswered, fail)
}

// delayedMessage is a message on its way.
type delayedMessage struct {
	at   time.Time
	from *node
	send effect.Send
}

// receiveDue hands the messages to a node that have arrived.
func (sim *simulation) receiveDue(n *node) {
	inbox := n.inbox
	n.inbox = nil
	for _, m := range inbox {
		if m.at.After(sim.now) {
			n.inbox = append(n.inbox, m)
			continue
		}
		sim.receive(n, m.from, m.send)
	}
}

func (sim *simulation) receive(to, from *node, e effect.Send) {
	to.lastToken++
	token := to.lastToken
	if spread, ok := e.Body.(*message.Spread); ok {
		to.recordsReceived += len(spread.Shared)
	}
	sim.handle(to, effect.RequestReceived{Token: token, Body: e.Body})
	if reply := to.replies[token]; reply != nil {
		sim.returnReply(from, e.Request, reply)
	} else {
		to.askers[token] = asker{from, e.Request}
	}
}

// returnReply hands a reply to the sender of a message, after its delay.
func (sim *simulation) returnReply(to *node, request effect.RequestID, reply message.Reply) {
	if catalog, ok := reply.(*message.CatalogReply); ok {
		to.changesReceived += len(catalog.Changes)
	}
	done := effect.SendDone{Request: request, Reply: reply}
	if to.replyDelay > 0 || to.stopped {
		to.unanswered = append(to.unanswered, unansweredRequest{sim.now.Add(to.replyDelay), done})
		return
	}
	sim.handle(to, done)
}

// failUnanswered tells a node that its unanswered messages and calls have timed out.
func (sim *simulation) failUnanswered(n *node) {
	unanswered := n.unanswered
	n.unanswered = nil
	for _, u := range unanswered {
		if u.failsAt.After(sim.now) {
			n.unanswered = append(n.unanswered, u)
			continue
		}
		sim.handle(n, u.failure)
	}
}
