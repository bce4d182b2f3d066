package message

import (
	"time"

	"sniperail.example/sniperail/internal/model"
)

// Document says which configuration an entry of the store holds. It stays true however late the message arrives.
type Document struct {
	Revision int64
	Number   model.Number
}

// ConfirmationQuery asks a daemon how old its configuration can be.
type ConfirmationQuery struct{}

// ConfirmationReply holds the number of the answering daemon's configuration. If Confirmed is set, it was the newest one that the
// store had acknowledged at the time that was Age before the reply.
type ConfirmationReply struct {
	Number    model.Number
	Confirmed bool
	Age       time.Duration
}

func (*ConfirmationQuery) request() {}

func (*ConfirmationReply) reply() {}
