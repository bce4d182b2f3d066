// Package document encodes and decodes the documents and records stored by the platform's key-value service, as JSON.
package document

import (
	"encoding/json"
	"net"
	"strconv"

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
func (JSON) EncodeTarget(r *model.TargetRecord) ([]byte, error) { return json.Marshal(r) }

const (
	// maxRecordBytes bounds a record of a target or a move, which has some hundred bytes.
	maxRecordBytes = 64 << 10
	// maxTargetSlots and maxTargetConnections bound the capacity of a target. A larger value is a mistake, and would draw all calls.
	maxTargetSlots       = 100_000
	maxTargetConnections = 1_000_000
)

// DecodeTarget decodes the record of a target. It refuses one that names no target which could be called.
func (JSON) DecodeTarget(data []byte) (*model.TargetRecord, error) {
	t, err := decodeRecord[model.TargetRecord](data, "target record")
	if err != nil {
		return nil, err
	}
	switch {
	case t.Daemon == "" || t.Service == "":
		return nil, errors.New("target record: a name is missing")
	case t.Slots < 1 || t.Slots > maxTargetSlots:
		return nil, errors.Errorf("target record: %d slots", t.Slots)
	case t.Connections < 0 || t.Connections > maxTargetConnections:
		return nil, errors.Errorf("target record: %d connections", t.Connections)
	case !t.State.IsKnown():
		return nil, errors.Errorf("target record: state %.40q is unknown", t.State)
	case t.State != model.TargetGone && (t.Instance == "" || t.Born <= 0):
		// Only a run that has left before its first report has no start time. As that of a target in service it would make its
		// version the oldest, which gets all calls of the service.
		return nil, errors.New("target record: the run or its start time is missing")
	}
	for _, address := range []string{t.Address, t.PeerAddress} {
		if err := checkAddress(address); err != nil {
			return nil, errors.Wrap(err, "target record")
		}
	}
	return t, nil
}

// checkAddress checks an address that is dialled, host:port.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Errorf("address %.80q is not HOST:PORT", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return errors.Errorf("address %.80q has no host or no port from 1 to 65535", address)
	}
	return nil
}

func decodeRecord[T any](data []byte, what string) (*T, error) {
	if len(data) > maxRecordBytes {
		return nil, errors.Errorf("%s: %d bytes, at most %d are read", what, len(data), maxRecordBytes)
	}
	return decode[T](data, what)
}

// EncodeMove encodes the record of a move.
func (JSON) EncodeMove(m *model.Rollout) ([]byte, error) { return json.Marshal(m) }

// DecodeMove decodes the record of a move. It refuses one without an ID or a service, with a step number beyond its steps, or
// with a share that is none.
func (JSON) DecodeMove(data []byte) (*model.Rollout, error) {
	m, err := decodeRecord[model.Rollout](data, "move record")
	switch {
	case err != nil:
		return nil, err
	case m.ID == "" || m.Service == "":
		return nil, errors.New("move record: a name is missing")
	case m.Step < -1 || m.Step >= len(m.Steps):
		return nil, errors.Errorf("move record: step %d of %d", m.Step, len(m.Steps))
	}
	for _, step := range m.Steps {
		if step.Share < 0 || step.Share > model.FullShare {
			return nil, errors.Errorf("move record: share %d of %d", step.Share, model.FullShare)
		}
	}
	return m, nil
}
