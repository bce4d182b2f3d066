// Package output prints results as tables for people or as JSON for programs.
package output

import (
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
)

// Output formats.
const (
	FormatTable = "table"
	FormatJSON  = "json"
)

// Printer writes results in one format.
type Printer struct {
	Out    io.Writer
	Format string
}

// IsJSON reports whether results are printed as JSON.
func (p Printer) IsJSON() bool { return p.Format == FormatJSON }

// JSON writes a value as one line of JSON.
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

// trailingSpace matches the padding of the last column.
var trailingSpace = regexp.MustCompile(`(?m) +$`)

// Table writes a header and rows. If there are no rows, it writes only the text empty.
func (p Printer) Table(header table.Row, rows []table.Row, empty string) error {
	if len(rows) == 0 {
		return p.Line("%s", empty)
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

// Time formats a time in UTC to the second; the zero time becomes a dash.
func Time(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// Text returns the text, or a dash if it is empty, so that no column is blank.
func Text[T ~string](text T) string {
	if text == "" {
		return "-"
	}
	return string(text)
}
