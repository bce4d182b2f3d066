// Package output prints the results of experiments.
package output

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"
)

// Format is the flag that chooses how an experiment prints its result. Embed it in a kong command.
type Format struct {
	Output string `short:"o" default:"text" enum:"text,json" help:"text or json."`
}

// Print writes the value as JSON or, in text format, what render returns.
func (f Format) Print(value any, render func() string) error {
	if f.Output == "json" {
		return errors.Wrap(json.NewEncoder(os.Stdout).Encode(value), "print result")
	}
	_, err := fmt.Print(render())
	return errors.Wrap(err, "print result")
}

// Lines formats rows as text, one per line.
func Lines[R fmt.Stringer](rows []R) string {
	text := ""
	for _, r := range rows {
		text += r.String() + "\n"
	}
	return text
}
