// Package output prints results: tables for people, JSON for programs.
package output

import (
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
)

// Formats of a result.
const (
	FormatTable = "table"
	FormatJSON  = "json"
)

// Printer writes results in one format.
type Printer struct {
	Out    io.Writer
	Format string
}

// IsJSON reports whether a program reads the result.
func (p Printer) IsJSON() bool { return p.Format == FormatJSON }

// JSON writes one value on a line.
func (p Printer) JSON(value any) error {
	encoder := json.NewEncoder(p.Out)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// Line writes one line of text.
func (p Printer) Line(format string, args ...any) error {
	_, err := fmt.Fprintf(p.Out, format+"\n", args...)
	return err
}

// trailingSpace is the padding of the last column.
var trailingSpace = regexp.MustCompile(`(?m) +$`)

// Table writes rows below a header, or only a note if there are none.
func (p Printer) Table(header table.Row, rows []table.Row, none string) error {
	if len(rows) == 0 {
		return p.Line("%s", none)
	}
	style := table.StyleDefault
	style.Options = table.OptionsNoBordersAndSeparators
	style.Box.PaddingLeft, style.Box.PaddingRight = "", "  "
	t := table.NewWriter()
	t.SetStyle(style)
	t.AppendHeader(header)
	t.AppendRows(rows)
	return p.Line("%s", trailingSpace.ReplaceAllString(t.Render(), ""))
}

// Time renders a time in UTC to the second; the zero time is a dash.
func Time(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// Text renders an empty text as a dash, so that columns stay apart.
func Text[T ~string](text T) string {
	if text == "" {
		return "-"
	}
	return string(text)
}
