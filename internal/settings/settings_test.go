package settings

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Each case guards against a wrong value that is accepted at start and causes a failure later.
func TestWrongValuesAreRefused(t *testing.T) {
	cases := []struct {
		name  string
		check func(*Checks)
		want  string
	}{
		{"address without port", func(c *Checks) { c.Address("target", "10.0.0.1") }, `--target="10.0.0.1" (SNIPERAIL_TARGET): allowed is IP:PORT or HOST:PORT with a port from 1 to 65535`},
		{"address with port 0", func(c *Checks) { c.Address("target", "10.0.0.1:0") }, `--target="10.0.0.1:0" (SNIPERAIL_TARGET): allowed is IP:PORT or HOST:PORT with a port from 1 to 65535`},
		{"address without host", func(c *Checks) { c.Listen("api", ":80") }, `--api=":80" (SNIPERAIL_API): allowed is IP:PORT or HOST:PORT with a port from 0 to 65535; 0 picks a free port`},
		{"one bad address of a list", func(c *Checks) { c.Addresses("seeds", []string{"10.0.0.1:1", "x:70000"}) }, `--seeds="x:70000" (SNIPERAIL_SEEDS): allowed is IP:PORT or HOST:PORT with a port from 1 to 65535`},
		{"two listeners on one address", func(c *Checks) {
			c.Distinct(map[string]string{"api": "h:1", "peer": "h:1", "ingress": "h:0", "admission": "h:0"}, "api", "peer", "ingress", "admission")
		}, `--peer="h:1" (SNIPERAIL_PEER): allowed is an address other than that of --api`},
		{"name with a slash", func(c *Checks) { c.Name("data-centre", "a/b") }, `--data-centre="a/b" (SNIPERAIL_DATA_CENTRE): allowed is 1 to 63 letters, digits, '.', '_' or '-', with a letter or digit at both ends`},
		{"number of 0", func(c *Checks) { c.Positive("slots", 0, 100) }, `--slots="0" (SNIPERAIL_SLOTS): allowed is a whole number from 1 to 100`},
		{"duration too long", func(c *Checks) { c.Duration("warmup", time.Hour, 0, time.Minute) }, `--warmup="1h0m0s" (SNIPERAIL_WARMUP): allowed is a duration from 0s to 1m0s`},
		{"unknown choice", func(c *Checks) { c.OneOf("log-level", "loud", "debug", "info") }, `--log-level="loud" (SNIPERAIL_LOG_LEVEL): allowed is one of debug, info`},
		{"URL with a path", func(c *Checks) { c.URL("platform", "http://h:1/v3") }, `--platform="http://h:1/v3" (SNIPERAIL_PLATFORM): allowed is http://HOST:PORT`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var checks Checks
			c.check(&checks)
			is.True(checks.Err() != nil)
			is.Equal(checks.Err().Error(), c.want)
		})
	}
}

// Guards against a refusal that names only the first wrong value, and against valid values that are refused.
func TestAllWrongValuesAreNamedAtOnce(t *testing.T) {
	is := is.New(t)
	var c Checks
	c.Address("target", "127.0.0.1:80")
	c.Listen("api", "[::1]:0")
	c.Name("id", "profiles-1")
	c.Positive("slots", 12, 100)
	c.Duration("warmup", 0, 0, time.Minute)
	c.OneOf("log-level", "info", "debug", "info")
	c.URL("platform", "http://127.0.0.1:2379")
	is.NoErr(c.Err())
	c.Name("id", "")
	c.Positive("slots", -1, 100)
	is.Equal(len(c.Err().(Problems)), 2)
}

// wrongCallers are wrong values of all flags, whose zero values stand for the defaults.
var wrongCallers = Callers{
	MachineMemory: -1, Descriptors: -1, ReservedDescriptors: -1, CallerBytes: -1, CallerConnections: -1, CallerGrace: -1,
	AddressShare: -1, ListenerShare: -1, TenantShare: -1, BodyGrace: -1, BodyRate: -1, HeadFields: -1,
}

// countFlags counts the fields that a check has to cover, with those of embedded settings.
func countFlags(settings reflect.Type) int {
	n := 0
	for _, field := range reflect.VisibleFields(settings) {
		if !field.Anonymous && field.Type.Kind() != reflect.Bool { // kong refuses what is no truth value
			n++
		}
	}
	return n
}

// Guards against a flag of the daemon that no check covers.
func TestDaemonChecksEveryFlag(t *testing.T) {
	is := is.New(t)
	d := Daemon{Seeds: []string{"x"}, Warmup: -1, Callers: wrongCallers}
	problems := d.Validate().(Problems)
	flags := map[string]bool{}
	for _, p := range problems {
		flags[p.Flag] = true
	}
	is.Equal(len(flags), countFlags(reflect.TypeFor[Daemon]()))
}

// Guards against a flag of the sidecar that no check covers.
func TestSidecarChecksEveryFlag(t *testing.T) {
	is := is.New(t)
	s := Sidecar{Seeds: []string{"x"}, Metrics: "x", Advertise: "a b", RetryRatio: 2, RetrySlack: -1, ExposureFraction: 2, ExposureSlack: -1,
		QuotaTolerance: -1, QuotaSlack: -1,
		Callers: wrongCallers}
	flags := map[string]bool{}
	for _, p := range s.Validate().(Problems) {
		flags[p.Flag] = true
	}
	is.Equal(len(flags), countFlags(reflect.TypeFor[Sidecar]()))
}
