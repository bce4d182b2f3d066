package load

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
)

// Command is the kong command "load" of sniperail-bench.
type Command struct{ Config }

// Run sends the load until it ends or the program is interrupted, and prints the result as JSON.
func (c *Command) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := Run(ctx, c.Config)
	if err != nil {
		return err
	}
	return errors.Wrap(json.NewEncoder(os.Stdout).Encode(result), "print result")
}
