// Package settings validates the flags and environment variables of the programs. All wrong values are reported together,
// each with its flag, its value and the allowed values.
package settings

import (
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Problem is one wrong value.
type Problem struct {
	Flag    string
	Value   string
	Allowed string
}

// String formats the problem for an operator.
func (p Problem) String() string {
	return fmt.Sprintf("--%s=%q (%s): allowed is %s", p.Flag, p.Value, EnvironmentVariable(p.Flag), p.Allowed)
}

// Problems is the error of wrong settings.
type Problems []Problem

// Error returns every wrong value on a line of its own.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// EnvironmentVariable returns the variable that sets a flag: SNIPERAIL_ and the flag in upper snake case.
func EnvironmentVariable(flag string) string {
	return "SNIPERAIL_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Checks collects the wrong values of one program's settings. Its methods check the values of flags and record the wrong
// ones. The zero value is ready to use.
type Checks struct{ problems Problems }

// Err returns the wrong values as Problems, or nil if there are none.
func (c *Checks) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return c.problems
}

// require records a wrong value unless ok is true.
func (c *Checks) require(ok bool, flag, value, allowed string) {
	if !ok {
		c.problems = append(c.problems, Problem{Flag: flag, Value: value, Allowed: allowed})
	}
}

const (
	allowedAddress = "IP:PORT or HOST:PORT with a port from 1 to 65535"
	allowedListen  = "IP:PORT or HOST:PORT with a port from 0 to 65535; 0 picks a free port"
)

// Address checks an address to connect to.
func (c *Checks) Address(flag, value string) {
	c.require(isAddress(value, 1), flag, value, allowedAddress)
}

// Listen checks an address to listen on.
func (c *Checks) Listen(flag, value string) {
	c.require(isAddress(value, 0), flag, value, allowedListen)
}

// Addresses checks a list of addresses to connect to. An empty list is allowed.
func (c *Checks) Addresses(flag string, values []string) {
	for _, value := range values {
		c.Address(flag, value)
	}
}

// Distinct checks that the addresses of several listeners differ. The flags are checked in the given order. Addresses with
// port 0 never collide.
func (c *Checks) Distinct(addresses map[string]string, order ...string) {
	owner := map[string]string{}
	for _, flag := range order {
		address := addresses[flag]
		if strings.HasSuffix(address, ":0") {
			continue
		}
		first, taken := owner[address]
		c.require(!taken, flag, address, "an address other than that of --"+first)
		if !taken {
			owner[address] = flag
		}
	}
}

func isAddress(value string, lowest int) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil || host == "" || strings.ContainsAny(host, "/ ") {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= lowest && n <= 65_535
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)

// Name checks the name of a daemon, data centre, region, service or version. Names are parts of keys and metric labels.
func (c *Checks) Name(flag, value string) {
	c.require(namePattern.MatchString(value), flag, value,
		"1 to 63 letters, digits, '.', '_' or '-', with a letter or digit at both ends")
}

// Host checks a host name or an IP address without a port.
func (c *Checks) Host(flag, value string) {
	c.require(isAddress(net.JoinHostPort(value, "1"), 1), flag, value, "a host name or an IP address")
}

// Positive checks a whole number between 1 and most.
func (c *Checks) Positive(flag string, value, most int) {
	c.require(value >= 1 && value <= most, flag, strconv.Itoa(value), fmt.Sprintf("a whole number from 1 to %d", most))
}

// Duration checks a duration between two bounds, both included.
func (c *Checks) Duration(flag string, value, least, most time.Duration) {
	c.require(value >= least && value <= most, flag, value.String(), fmt.Sprintf("a duration from %s to %s", least, most))
}

// Number checks a number between two bounds, both included.
func (c *Checks) Number(flag string, value, least, most float64) {
	c.require(value >= least && value <= most, flag, strconv.FormatFloat(value, 'g', -1, 64),
		fmt.Sprintf("a number from %g to %g", least, most))
}

// OneOf checks that a value is one of the choices.
func (c *Checks) OneOf(flag, value string, choices ...string) {
	for _, choice := range choices {
		if value == choice {
			return
		}
	}
	c.require(false, flag, value, "one of "+strings.Join(choices, ", "))
}

// URL checks the base URL of an HTTP service, which has no path, query or user.
func (c *Checks) URL(flag, value string) {
	rest, ok := strings.CutPrefix(value, "http://")
	c.require(ok && isAddress(strings.TrimSuffix(rest, "/"), 1), flag, value, "http://HOST:PORT")
}

// Path checks the path of an HTTP request, which has no query.
func (c *Checks) Path(flag, value string) {
	c.require(strings.HasPrefix(value, "/") && !strings.ContainsAny(value, "?# "), flag, value, "a path that starts with /")
}
