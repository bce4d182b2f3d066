package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/model"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// AddDaemons adds daemons, without starting them, spread evenly over data centres and services. Four data centres form a
// region.
func (f *Fleet) AddDaemons(daemons, centres, services int) {
	var seeds []string
	for i := range min(daemons, 2*centres) {
		seeds = append(seeds, peerAddress(i))
	}
	for i := range daemons {
		dc := i % centres
		f.Add(model.Target{
			Daemon:  model.DaemonID(fmt.Sprintf("d%04d", i)),
			Service: serviceName(i / centres % services), Version: version(i / centres / services % 2),
			DataCentre: model.DataCentre(fmt.Sprintf("dc%d", dc)), Region: model.Region(fmt.Sprintf("region%d", dc/4)),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", dc, i/250, i%250), PeerAddress: peerAddress(i),
			Slots: 12, Connections: 130, State: model.TargetReady, Since: f.Now,
		}, seeds)
	}
}

func peerAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:8001", i/250, i%250) }

func serviceName(i int) model.ServiceName { return model.ServiceName(fmt.Sprintf("service-%02d", i)) }

func version(i int) model.VersionName { return model.VersionName(fmt.Sprintf("v%d", i+1)) }

// SampleConfiguration returns a valid configuration with the given number of services, each with two versions and two
// routes. The configuration number determines the shares of one service, so that successive configurations differ in one
// service, as after a step of a move.
func SampleConfiguration(number model.Number, services int) *model.Configuration {
	c := &model.Configuration{Number: number}
	for i := range services {
		share := model.FullShare
		if i == int(number)%services {
			share -= model.Share(number % 5_000)
		}
		s := model.Service{
			Name: serviceName(i), Customer: "sample", Changed: number - number%model.Number(services),
			Versions: []model.VersionShare{{Version: "v1", Share: share}, {Version: "v2", Share: model.FullShare - share}},
		}
		if i > 0 {
			s.DependsOn = []model.ServiceName{serviceName(i - 1)}
		}
		c.Services = append(c.Services, s)
		for _, path := range []string{"read", "write"} {
			c.Routes = append(c.Routes, model.Route{
				Name: model.RouteName(fmt.Sprintf("%s-%s", s.Name, path)), Service: s.Name,
				PathPrefix: fmt.Sprintf("/%s/%s", s.Name, path),
			})
		}
	}
	at := Start.Add(time.Duration(number) * time.Second)
	c.LastWrite = model.WriteStamp{ID: fmt.Sprintf("w%d", number), By: "sample", At: at, Number: number}
	c.Events = []model.MoveEvent{{Token: uint64(number), At: at, Kind: model.EventChanged, Number: number}}
	c.LastEvent = uint64(number)
	return c
}
