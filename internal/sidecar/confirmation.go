package sidecar

import (
	"math"

	"sniperail.example/sniperail/internal/command/catalog"
	"sniperail.example/sniperail/internal/command/confirmation"
	"sniperail.example/sniperail/internal/process"
)

// confirmConfigurations makes the core confirm configurations if the settings ask for it.
func (d *Sidecar) confirmConfigurations(config *catalog.Config) {
	if d.settings.RevokeStrict {
		config.RevokeWithin = d.settings.RevokeWithin
	}
}

// isConfirmed reports whether the configuration in force is known to be recent enough for API keys.
func (d *Sidecar) isConfirmed() bool {
	if !d.settings.RevokeStrict {
		return true
	}
	// The clock is read last, so that the age is rather too high.
	confirmed := d.loop.Confirmed()
	return confirmation.Serves(confirmed, process.Uptime(), d.settings.RevokeWithin)
}

func (d *Sidecar) registerConfirmationGauge() error {
	if !d.settings.RevokeStrict {
		return nil
	}
	return d.metrics.RegisterGauge("sniperail_confirmation_age_seconds",
		"Age of the proof that the configuration in force is the newest one.", func() float64 {
			confirmed := d.loop.Confirmed()
			if confirmed == confirmation.Never {
				return math.Inf(1)
			}
			return (process.Uptime() - confirmed).Seconds()
		})
}
