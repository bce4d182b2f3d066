package sidecar_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// eventSources are the files whose log events are documented in docs/OPERATIONS.md.
var eventSources = []string{
	"../command/catalog/*.go", "../sidecar/*.go", "../traffic/request_log.go", "../traffic/pipeline*.go",
	"../telemetry/bounded.go", "../process/*.go", "../../cmd/sniperail-sidecar/*.go",
}

// metricSources are the files that create instruments of sniperail-sidecar.
var metricSources = []string{
	"../sidecar/*.go", "../traffic/metrics.go", "../command/catalog/*.go", "../platform/*.go", "../telemetry/metrics.go",
}

// otherMetrics are metrics of sniperaild or names that appear only on the operators' pages.
var otherMetrics = []string{"sniperail_call", "sniperail_calls"}

// findNames returns the first groups of all matches of the expressions in the files, sorted and without duplicates.
func findNames(t *testing.T, patterns []string, expressions ...string) []string {
	t.Helper()
	var names []string
	for _, pattern := range patterns {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: no files, %v", pattern, err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, expression := range expressions {
				for _, match := range regexp.MustCompile(expression).FindAllStringSubmatch(string(text), -1) {
					names = append(names, match[1])
				}
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// documentedNames returns the names in the first column of the tables below a heading.
func documentedNames(t *testing.T, heading string) []string {
	t.Helper()
	text, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, ok := strings.Cut(string(text), "## "+heading+"\n")
	if !ok {
		t.Fatalf("no heading %q", heading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	var names []string
	for _, row := range regexp.MustCompile("(?m)^\\| (`[^|]*) \\|").FindAllStringSubmatch(section, -1) {
		for _, name := range regexp.MustCompile("`([^`]*)`").FindAllStringSubmatch(row[1], -1) {
			names = append(names, name[1])
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Guards against a log event that the on-call page does not explain, and against an explained event that is never logged.
func TestDocumentedEvents(t *testing.T) {
	events := findNames(t, eventSources,
		`\.log\("([a-z-]+)"`, `logger\.(?:Info|Warn|Error)\("([a-z-]+)"`, `Logger\.(?:Info|Warn|Error)\("([a-z-]+)"`,
		`event=([a-z-]+) `, `logEvent\(\) string +\{ return "([a-z-]+)"`)
	if diff := cmp.Diff(documentedNames(t, "Log events"), events); diff != "" {
		t.Fatalf("documented and written events differ (-documented +written):\n%s", diff)
	}
}

// Guards against a refusal whose reason the on-call page does not explain, and against an explained reason that is never
// given.
func TestDocumentedReasons(t *testing.T) {
	reasons := findNames(t, []string{"../traffic/refusal.go"}, `reason[A-Z][A-Za-z]* *= "([a-z-]+)"`)
	reasons = append(reasons, findNames(t, []string{"../command/admission/priority_queue.go"}, `Reason = "([a-z-]+)"`)...)
	reasons = append(reasons, findNames(t, []string{"../api/queries/explain.go"}, `reason[A-Z][A-Za-z]* *= "([a-z-]+)"`)...)
	reasons = append(reasons, "connections-exhausted", "deadline-too-short", "no-route", "no-target", "no-version")
	// Reasons of routes that run a request at most once, which only sniperaild has.
	reasons = slices.DeleteFunc(reasons, func(r string) bool {
		return strings.HasPrefix(r, "at-most-once") || r == "running" || r == "outcome-unknown" || r == "answer-too-large" ||
			r == "ambiguous-path" || r == "response-unframed"
	})
	slices.Sort(reasons)
	if diff := cmp.Diff(documentedNames(t, "Reasons"), slices.Compact(reasons)); diff != "" {
		t.Fatalf("documented and given reasons differ (-documented +given):\n%s", diff)
	}
}

// Guards against a metric that the on-call page does not explain, and against an explained metric that does not exist.
func TestDocumentedMetrics(t *testing.T) {
	metrics := findNames(t, metricSources, `"(sniperail_[a-z_]+)"`)
	metrics = append(metrics, otherMetrics...)
	slices.Sort(metrics)
	metrics = slices.DeleteFunc(slices.Compact(metrics), func(m string) bool { return m == "sniperail_call" })
	if diff := cmp.Diff(documentedNames(t, "Metrics"), metrics); diff != "" {
		t.Fatalf("documented and written metrics differ (-documented +written):\n%s", diff)
	}
}
