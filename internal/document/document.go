// Package document encodes and decodes the documents and records stored by the platform's key-value service, as JSON.
package document

import (
	"encoding/json"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/command/agent"
	"sniperail.example/sniperail/internal/model"
)

// JSON is the codec of stored documents.
type JSON struct{}

// EncodeConfiguration encodes a configuration.
func (JSON) EncodeConfiguration(c *model.Configuration) ([]byte, error) { return json.Marshal(c) }

// DecodeConfiguration decodes a configuration. The result is not validated.
func (JSON) DecodeConfiguration(data []byte) (*model.Configuration, error) {
	return decode[model.Configuration](data, "configuration")
}

// EncodePlan encodes a plan.
func (JSON) EncodePlan(p *model.Plan) ([]byte, error) { return json.Marshal(p) }

// DecodePlan decodes a plan.
func (JSON) DecodePlan(data []byte) (*model.Plan, error) { return decode[model.Plan](data, "plan") }

func decode[T any](data []byte, what string) (*T, error) {
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		return nil, errors.Wrap(err, what)
	}
	return &v, nil
}

// EncodeLeader encodes the value of a leader key.
func (JSON) EncodeLeader(r agent.LeaderRecord) ([]byte, error) { return json.Marshal(r) }

// DecodeLeader decodes the value of a leader key.
func (JSON) DecodeLeader(data []byte) (agent.LeaderRecord, error) {
	r, err := decode[agent.LeaderRecord](data, "leader record")
	if err != nil {
		return agent.LeaderRecord{}, err
	}
	return *r, nil
}

// EncodeTarget encodes the record of a target.
func (JSON) EncodeTarget(t *model.Target) ([]byte, error) { return json.Marshal(t) }

// DecodeTarget decodes the record of a target. It refuses one without a daemon name or an address.
func (JSON) DecodeTarget(data []byte) (*model.Target, error) {
	t, err := decode[model.Target](data, "target record")
	if err == nil && (t.Daemon == "" || t.Address == "" || t.PeerAddress == "") {
		return nil, errors.New("target record: a name or an address is missing")
	}
	return t, err
}

// EncodeMove encodes the record of a move.
func (JSON) EncodeMove(m *model.Rollout) ([]byte, error) { return json.Marshal(m) }

// DecodeMove decodes the record of a move. It refuses one without an ID or a service, or with a step number beyond its steps.
func (JSON) DecodeMove(data []byte) (*model.Rollout, error) {
	m, err := decode[model.Rollout](data, "move record")
	if err == nil && (m.ID == "" || m.Service == "" || m.Step >= len(m.Steps)) {
		return nil, errors.New("move record: a field is missing")
	}
	return m, err
}
