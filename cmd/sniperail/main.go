// Command sniperail is the operators' command line: it declares changes and moves, confirms plans and reads reports.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"golang.org/x/term"

	"sniperail.example/sniperail/internal/api/problem"
	"sniperail.example/sniperail/internal/cli/commands"
	"sniperail.example/sniperail/internal/cli/output"
	"sniperail.example/sniperail/internal/cli/queries"
	"sniperail.example/sniperail/internal/client"
	"sniperail.example/sniperail/internal/settings"
)

// Exit codes.
const (
	exitDone        = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnreachable = 3
)

type cli struct {
	Server   []string      `default:"127.0.0.1:7400" placeholder:"HOST:PORT" help:"Operators' API of one or more daemons, tried in order."`
	Operator string        `help:"Name recorded with each command. The default is the address of this machine."`
	Timeout  time.Duration `default:"10s" help:"Limit for one request to one server."`
	Output   string        `short:"o" default:"table" help:"table for people, json for programs."`

	Declare  declare  `cmd:"" group:"command" help:"Send files and receive a plan. Changes nothing."`
	Confirm  confirm  `cmd:"" group:"command" help:"Put a plan into effect."`
	Pause    pause    `cmd:"" group:"command" help:"Stop a move from advancing."`
	Resume   resume   `cmd:"" group:"command" help:"Let a paused move advance."`
	Withdraw withdraw `cmd:"" group:"command" help:"Take a move back: the old version gets all calls."`

	Get    get    `cmd:"" group:"query" help:"Print a report: ${reports}."`
	Events events `cmd:"" group:"query" help:"Print the event feed."`
	Watch  watch  `cmd:"" group:"query" help:"Follow a move to its end. Exits with 1 if it is withdrawn."`
	Check  check  `cmd:"" group:"query" help:"Check files without a server."`

	Explain      explain      `cmd:"" group:"query" help:"Show the way of a request from the logs of daemons."`
	ExplainRoute explainRoute `cmd:"" group:"query" help:"Show where a request would go now. Sends nothing to a target."`
}

type (
	declare struct {
		Files []string `short:"f" name:"file" required:"" sep:"none" placeholder:"FILE" help:"File to send; may be repeated."`
	}
	confirm struct {
		Plan string `arg:"" help:"Plan to confirm."`
	}
	pause struct {
		Move string `arg:"" help:"Move to pause."`
	}
	resume struct {
		Move string `arg:"" help:"Move to resume."`
	}
	withdraw struct {
		Move   string `arg:"" help:"Move to take back."`
		Reason string `required:"" help:"Reason that reports show."`
	}
	get struct {
		Report string `arg:"" enum:"${reports}" help:"One of ${enum}."`
	}
	events struct {
		After uint64 `help:"Token after which to start."`
	}
	watch struct {
		Move     string        `arg:"" help:"Move to follow."`
		Interval time.Duration `default:"500ms" help:"Time between two polls."`
	}
	check struct {
		Files []string `short:"f" name:"file" required:"" sep:"none" placeholder:"FILE" help:"File to check; may be repeated."`
	}
)

type explain struct {
	Request string   `arg:"" help:"Id of the request."`
	Logs    []string `arg:"" optional:"" placeholder:"FILE" help:"Logs, one a daemon; without any, standard input."`
}

// explainRoute has no flag for the key, because other users of the machine see the command line.
type explainRoute struct {
	Path    string `arg:"" help:"Path of the request."`
	Host    string `help:"Host of the request."`
	Method  string `default:"GET" help:"Method of the request."`
	KeyFile string `placeholder:"FILE" help:"File with the API key. The default is the content of SNIPERAIL_API_KEY."`
}

// Run prints the explanation of the daemon whose metrics listener is --server.
func (e explainRoute) Run(ctx context.Context, s queries.Session) error {
	key := os.Getenv("SNIPERAIL_API_KEY")
	if e.KeyFile != "" {
		content, err := os.ReadFile(e.KeyFile)
		if err != nil {
			return errors.WithStack(err)
		}
		key = string(content)
	}
	return s.ExplainRoute(ctx, queries.RouteRequest{Host: e.Host, Method: e.Method, Path: e.Path, Key: strings.TrimSpace(key)})
}

// Run opens the logs and prints the explanation.
func (e explain) Run(s queries.Session) error {
	if len(e.Logs) == 0 {
		return s.Explain(e.Request, []queries.LogSource{{Name: "-", Read: os.Stdin}})
	}
	sources := make([]queries.LogSource, 0, len(e.Logs))
	for _, name := range e.Logs {
		file, err := os.Open(name)
		if err != nil {
			return errors.WithStack(err)
		}
		defer func() { _ = file.Close() }()
		sources = append(sources, queries.LogSource{Name: name, Read: file})
	}
	return s.Explain(e.Request, sources)
}

const description = `Moves traffic between versions of a service, and distributes the configuration of a mesh.

Examples:
  sniperail declare -f mesh.yaml           # services and routes: answers with a plan
  sniperail declare -f move.yaml           # move a service to a version: answers with a plan
  sniperail confirm PLAN                   # nothing changes before this
  sniperail watch PLAN                     # follow the move to its end
  sniperail withdraw PLAN --reason "late"  # take the move back
  sniperail get moves -o json              # for programs

Exit codes: 0 done, 1 refused or withdrawn, 2 usage, 3 no server answered, the platform is
unavailable, or the outcome is unknown.`

// Validate reports all wrong values together.
func (c *cli) Validate() error {
	var checks settings.Checks
	checks.Addresses("server", c.Server)
	checks.OneOf("output", c.Output, output.FormatTable, output.FormatJSON)
	checks.Duration("timeout", c.Timeout, time.Millisecond, time.Hour)
	return checks.Err()
}

func (d declare) Run(ctx context.Context, s commands.Session) error {
	return s.Declare(ctx, d.Files, time.Now())
}
func (c confirm) Run(ctx context.Context, s commands.Session) error { return s.Confirm(ctx, c.Plan) }
func (p pause) Run(ctx context.Context, s commands.Session) error   { return s.Pause(ctx, p.Move) }
func (r resume) Run(ctx context.Context, s commands.Session) error  { return s.Resume(ctx, r.Move) }
func (w withdraw) Run(ctx context.Context, s commands.Session) error {
	return s.Withdraw(ctx, w.Move, w.Reason)
}
func (g get) Run(ctx context.Context, s queries.Session) error    { return s.Get(ctx, g.Report) }
func (e events) Run(ctx context.Context, s queries.Session) error { return s.Events(ctx, e.After) }
func (c check) Run(s queries.Session) error                       { return s.Check(c.Files, time.Now()) }

// Validate checks the interval, because a ticker requires a positive one.
func (w watch) Validate() error {
	var checks settings.Checks
	checks.Duration("interval", w.Interval, 10*time.Millisecond, time.Hour)
	return checks.Err()
}

func (w watch) Run(ctx context.Context, s queries.Session) error {
	ticker := time.NewTicker(w.Interval)
	defer ticker.Stop()
	var progress queries.Progress = &queries.LineProgress{Printer: s.Printer}
	if file, ok := s.Printer.Out.(*os.File); ok && term.IsTerminal(int(file.Fd())) && !s.Printer.IsJSON() {
		progress = queries.NewBarProgress(file)
	}
	return s.Watch(ctx, w.Move, ticker.C, progress)
}

// run executes the program with the given arguments and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var c cli
	code := -1
	parser, err := kong.New(&c, kong.Name("sniperail"), kong.Description(description),
		kong.DefaultEnvars("SNIPERAIL"), kong.Writers(stdout, stderr), kong.Exit(func(status int) { code = status }),
		kong.Vars{"reports": queries.ReportNames}, kong.ConfigureHelp(kong.HelpOptions{NoExpandSubcommands: true}),
		kong.ExplicitGroups([]kong.Group{{Key: "command", Title: "Commands (change state):"}, {Key: "query", Title: "Queries (only read):"}}))
	if err != nil {
		panic(errors.Wrap(err, "command line grammar"))
	}
	parsed, err := parser.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "sniperail: %s\nTry: sniperail --help\n", err)
		return exitUsage
	}
	api := client.New(c.Server, c.Operator, c.Timeout)
	printer := output.Printer{Out: stdout, Format: c.Output}
	parsed.BindTo(ctx, (*context.Context)(nil))
	err = parsed.Run(commands.Session{Client: api, Printer: printer}, queries.Session{Client: api, Printer: printer})
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "sniperail: %s\n", err)
	}
	var refusal *client.RefusalError
	if errors.As(err, &refusal) && printer.IsJSON() {
		_ = printer.JSON(refusal.Document)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	if err == nil {
		return exitDone
	}
	var unreachable *client.UnreachableError
	var refusal *client.RefusalError
	unavailableOrUnknown := errors.As(err, &refusal) &&
		(refusal.Executed != problem.NotExecuted || refusal.Status == http.StatusServiceUnavailable)
	if errors.As(err, &unreachable) || unavailableOrUnknown {
		return exitUnreachable
	}
	return exitRefused
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
