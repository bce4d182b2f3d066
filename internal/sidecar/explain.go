package sidecar

import (
	"net/http"

	"sniperail.example/sniperail/internal/api/queries"
	"sniperail.example/sniperail/internal/command/confirmation"
	"sniperail.example/sniperail/internal/process"
	"sniperail.example/sniperail/internal/query/explanation"
)

// explainPath is the path of explanations on the listener of the metrics.
const explainPath = "/explain"

// metricsHandler serves explanations at explainPath and the metrics at any other path.
func (d *Sidecar) metricsHandler() http.Handler {
	explainer, metrics := queries.NewRouteExplainer(d.explain), d.metrics.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == explainPath {
			explainer.ServeHTTP(w, r)
			return
		}
		metrics.ServeHTTP(w, r)
	})
}

// explain says where a request would go. The confirmation is read before the table, see traffic.OutboundOptions.
func (d *Sidecar) explain(r explanation.Request) explanation.Explanation {
	c := explanation.Confirmation{Required: d.settings.RevokeStrict, Serves: true}
	if c.Required {
		confirmed := d.loop.Confirmed()
		now := process.Uptime()
		c.Serves = confirmation.Serves(confirmed, now, d.settings.RevokeWithin)
		if c.Known = confirmed != confirmation.Never; c.Known {
			c.Age = now - confirmed
		}
	}
	return d.outbound.Explain(c, r)
}
