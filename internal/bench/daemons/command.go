package daemons

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"
)

// Command is the kong command "daemons" of sniperail-bench.
type Command struct {
	Options
	Output string `short:"o" default:"markdown" enum:"markdown,json" help:"markdown or json."`
}

// Run measures and prints the report.
func (c *Command) Run() error {
	report, err := Run(context.Background(), c.Options)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return errors.Wrap(json.NewEncoder(os.Stdout).Encode(report), "print report")
	}
	_, err = fmt.Print(report.Text())
	return errors.Wrap(err, "print report")
}
