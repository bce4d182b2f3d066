package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// templateValues holds the values that the platform substitutes for the names in the template.
var templateValues = map[string]string{
	"node_name": "sidecar-worcester-1", "zone": "worcester", "region": "new-england", "service": "huvo11a", "ip": "10.1.0.8",
	"app_addr": "10.1.0.8:8301", "listen.outbound": "10.1.0.8:8304", "listen.inbound": "10.1.0.8:8300", "listen.control": "10.1.0.8:8306",
	"listen.ready": "10.1.0.8:8302", "port_range.0": "7620", "platform.address": "10.200.1.7:8309", "platform.ttl_min_ms": "1000",
	"seeds": "10.1.0.9:8306,10.1.0.10:8306", "bounds": "drain_ms=2000,grace_s=7,retry_budget_ratio=0.25,budget_slack=62",
	"bootstrap": "true",
}

// Guards against settings in the template that the program does not know, and against settings that get a wrong value.
func TestSettingsFromTheTemplate(t *testing.T) {
	is := is.New(t)
	template, err := os.ReadFile("../../deploy/sidecar.env")
	is.NoErr(err)
	filled := regexp.MustCompile(`{{([^}]*)}}`).ReplaceAllStringFunc(string(template), func(m string) string {
		value, ok := templateValues[strings.Trim(m, "{}")]
		if !ok {
			t.Errorf("the template asks for %s", m)
		}
		return value
	})
	for _, name := range regexp.MustCompile(`(?m)^(\w+)=`).FindAllStringSubmatch(filled, -1) {
		_, set := os.LookupEnv(name[1])
		is.True(!set) // the environment takes precedence over the file
	}
	path := filepath.Join(t.TempDir(), "settings.conf")
	is.NoErr(os.WriteFile(path, []byte(filled), 0o600))
	c, err := parse(nil, path, func(int) {})
	is.NoErr(err)
	is.Equal(c.ID, "sidecar-worcester-1")
	is.Equal(c.Ingress, "10.1.0.8:8304")
	is.Equal(c.Admission, "10.1.0.8:8300")
	is.Equal(c.Peer, "10.1.0.8:7620")
	is.Equal(c.Platform, "http://10.200.1.7:8309")
	is.Equal(c.Seeds, []string{"10.1.0.9:7620", "10.1.0.10:7620"})
	is.Equal(c.Grace, 7*time.Second)
	is.Equal(c.RetryRatio, 0.25)
	is.Equal(c.MinLease, time.Second)
	is.True(c.FirstStart)
}

// Guards against a start with invalid settings, and against a refusal that names only the first of them.
func TestWrongSettingsAreRefusedAllAtOnce(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.conf")
	is.NoErr(os.WriteFile(path, []byte("SNIPERAIL_ID=a\nSNIPERAIL_DATA_CENTRE=b\nSNIPERAIL_REGION=c\nSNIPERAIL_SERVICE=s\n"+
		"SNIPERAIL_TARGET=nowhere\nSNIPERAIL_INGRESS=1.1.1.1:1\nSNIPERAIL_ADMISSION=1.1.1.1:1\nSNIPERAIL_CONTROL=1.1.1.1:3\n"+
		"SNIPERAIL_READY=1.1.1.1:4\nSNIPERAIL_PEER=1.1.1.1:5\nSNIPERAIL_PLATFORM=ftp://x\n"), 0o600))
	_, err := parse(nil, path, func(int) {})
	is.True(err != nil)
	for _, flag := range []string{"--target=", "--admission=", "--platform="} {
		is.True(strings.Contains(err.Error(), flag))
	}
}
