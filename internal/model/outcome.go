package model

// OutcomeCode classifies the outcome of an operator's command.
type OutcomeCode string

// Outcome codes. A refused command has an outcome; it is not a Go error.
const (
	OutcomeApplied     OutcomeCode = "applied"
	OutcomeUnchanged   OutcomeCode = "unchanged"
	OutcomeConflict    OutcomeCode = "conflict"
	OutcomeInvalid     OutcomeCode = "invalid"
	OutcomeNotFound    OutcomeCode = "not-found"
	OutcomeUnavailable OutcomeCode = "unavailable"
	OutcomeUnknown     OutcomeCode = "unknown"
)

// Outcome is the result of a command.
type Outcome struct {
	Code   OutcomeCode `json:"code"`
	Number Number      `json:"number"`
	// Problems lists why a command was refused.
	Problems []Problem `json:"problems,omitempty"`
	// Plans are the plans that a declaration produced.
	Plans []Plan `json:"plans,omitempty"`
	Move  *Move  `json:"move,omitempty"`
}

// OK reports whether the command took effect or had nothing to change.
func (o Outcome) OK() bool { return o.Code == OutcomeApplied || o.Code == OutcomeUnchanged }

// Problem is one reason why a command or a configuration is refused.
type Problem struct {
	// Field is the path of the field at fault, such as "services[1].versions".
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
}

// Refused returns an outcome with a single problem.
func Refused(code OutcomeCode, field, reason string) Outcome {
	return Outcome{Code: code, Problems: []Problem{{Field: field, Reason: reason}}}
}
