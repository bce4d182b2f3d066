package traffic

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a tenant that the queue beside the target does not see, and one that is taken from a malformed header.
func TestQueueSeesTheTenant(t *testing.T) {
	is := is.New(t)
	for header, want := range map[string]tenantHeader{
		"a%20b 2.5": {"a b", 2.5}, "": {}, "a": {}, "a -1": {}, " 1": {}, "a NaN": {},
	} {
		c := &inboundCall{request: &http.Request{Header: http.Header{HeaderTenant: {header}}}, dispatch: &dispatchHeader{route: "r"}}
		call := c.admissionCall()
		is.Equal(call.Tenant, string(want.name))
		is.Equal(call.Weight, want.weight)
		is.Equal(call.Kind, "r")
	}
}
