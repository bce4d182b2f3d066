// Package routing selects the route, version and target of a call from a published view.
package routing

import "sniperail.example/sniperail/internal/model"

// Table is the compiled form of a view that traffic goroutines read. It is immutable.
type Table struct {
	// View is the view that the table was compiled from.
	View *model.View
}

// NewTable compiles a view.
func NewTable(view *model.View) *Table { return &Table{View: view} }
