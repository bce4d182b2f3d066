package configfile

import (
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/model"
)

func (c *collector) addMove(e *moveEntry, field string) {
	if e.Service == "" {
		c.addProblem(e.line, field+".service", "a move needs a service")
	}
	if e.To == "" {
		c.addProblem(e.line, field+".to", "a move needs the version to move to")
	}
	by, wrongField, err := c.deadline(e)
	if err != nil {
		c.addProblem(e.line, field+wrongField, "%s", err)
	}
	if e.Watch < 0 || e.Watch%time.Second != 0 {
		c.addProblem(e.line, field+".watch", "watch period %s is not a whole number of seconds", e.Watch)
	}
	if e.MinCalls < 0 {
		c.addProblem(e.line, field+".minCalls", "number of calls %d is negative", e.MinCalls)
	}
	c.intents = append(c.intents, located[model.Intent]{c.file, e.line, field, model.Intent{
		Service: model.ServiceName(e.Service), To: model.VersionName(e.To), By: by,
		WatchSeconds: int(e.Watch / time.Second), MinCalls: e.MinCalls,
	}})
}

// deadline returns the time by which a move must end. If there is an error, field is the path of the wrong
// field within the entry.
func (c *collector) deadline(e *moveEntry) (by time.Time, field string, err error) {
	switch {
	case e.By != "" && e.In != 0:
		return by, ".by", errors.New("by and in exclude each other")
	case e.In < 0:
		return by, ".in", errors.Errorf("duration %s is negative", e.In)
	case e.In > 0:
		return c.options.Now.Add(e.In), "", nil
	case e.By == "":
		return by, ".by", errors.New("a move needs a set time: by (time of day or RFC 3339) or in (duration)")
	}
	by, err = parseTime(e.By, c.options.Now)
	if err != nil {
		return by, ".by", err
	}
	if !by.After(c.options.Now) {
		return by, ".by", errors.Errorf("time %s is in the past: it is %s now", e.By, c.options.Now.Format(time.RFC3339))
	}
	return by, "", nil
}

// parseTime parses an RFC 3339 time, or a time of day on the day of now. A time of day that has passed is not moved to the
// next day, which is rarely what an operator means.
func parseTime(text string, now time.Time) (time.Time, error) {
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		return t, nil
	}
	for _, layout := range []string{"15:04", "15:04:05"} {
		if t, err := time.Parse(layout, text); err == nil {
			return time.Date(now.Year(), now.Month(), now.Day(), t.Hour(), t.Minute(), t.Second(), 0, now.Location()), nil
		}
	}
	return time.Time{}, errors.Errorf("time %q is neither a time of day such as 18:30 nor RFC 3339", text)
}

// checkReferences records names that are declared twice in the files, and references that do not resolve.
func (c *collector) checkReferences() {
	services := map[model.ServiceName]*located[model.Service]{}
	for i := range c.services {
		s := &c.services[i]
		if first, ok := services[s.value.Name]; ok && s.value.Name != "" {
			c.addProblemAt(s.file, s.line, s.field+".name", "service %q is already declared at %s:%d", s.value.Name, first.file, first.line)
			continue
		}
		services[s.value.Name] = s
	}
	missing := func(name model.ServiceName) bool {
		return c.options.SelfContained && name != "" && services[name] == nil
	}
	for _, s := range c.services {
		for _, name := range s.value.DependsOn {
			if missing(name) {
				c.addProblemAt(s.file, s.line, s.field+".dependsOn", "service %q does not exist", name)
			}
		}
	}
	routes := map[model.RouteName]located[model.Route]{}
	for _, r := range c.routes {
		if first, ok := routes[r.value.Name]; ok && r.value.Name != "" {
			c.addProblemAt(r.file, r.line, r.field+".name",
				"route %q is already declared at %s:%d", r.value.Name, first.file, first.line)
		}
		routes[r.value.Name] = r
		for _, part := range r.value.Split {
			if missing(part.Service) {
				c.addProblemAt(r.file, r.line, r.field+".split", "service %q does not exist", part.Service)
			}
		}
		if len(r.value.Split) == 0 && missing(r.value.Service) {
			c.addProblemAt(r.file, r.line, r.field+".service", "service %q does not exist", r.value.Service)
		}
	}
	c.checkMoveReferences(services, missing)
}

func (c *collector) checkMoveReferences(services map[model.ServiceName]*located[model.Service],
	missing func(model.ServiceName) bool) {
	moved := map[model.ServiceName]located[model.Intent]{}
	for _, m := range c.intents {
		name := m.value.Service
		if name == "" {
			continue
		}
		if first, ok := moved[name]; ok {
			c.addProblemAt(m.file, m.line, m.field+".service", "service %q is already moved at %s:%d", name, first.file, first.line)
		}
		moved[name] = m
		if missing(name) {
			c.addProblemAt(m.file, m.line, m.field+".service", "service %q does not exist", name)
		}
		if s := services[name]; s != nil && m.value.To != "" && s.value.Version(m.value.To) == nil {
			c.addProblemAt(m.file, m.line, m.field+".to", "version %q of service %q does not exist", m.value.To, name)
		}
	}
}

// addProblemAt records a problem in the given file.
func (c *collector) addProblemAt(file string, line int, field, format string, args ...any) {
	c.file = file
	c.addProblem(line, field, format, args...)
}
