package message

import "sniperail.example/sniperail/internal/model"

// ServiceSums holds the outcomes of one version of a service. Heartbeats carry it each second while a move is active, so
// service and version are sent once, and empty latency buckets at both ends are left out.
type ServiceSums struct {
	Service model.ServiceName
	Version model.VersionName
	Routes  []RouteSum
}

// RouteSum holds the outcomes of one route. Latency[0] is the count of latency bucket First.
type RouteSum struct {
	Route           model.RouteName
	Calls, Failures uint32
	First           int
	Latency         []uint32
}

// PackSums groups sums by service and version for sending.
func PackSums(sums []model.KeyedSum) []ServiceSums {
	var packed []ServiceSums
	index := map[model.VersionRef]int{}
	for _, s := range sums {
		ref := model.VersionRef{Service: s.Service, Version: s.Version}
		i, ok := index[ref]
		if !ok {
			i = len(packed)
			index[ref] = i
			packed = append(packed, ServiceSums{Service: s.Service, Version: s.Version})
		}
		packed[i].Routes = append(packed[i].Routes, packRoute(s))
	}
	return packed
}

func packRoute(s model.KeyedSum) RouteSum {
	first, end := 0, len(s.Latency)
	for first < end && s.Latency[first] == 0 {
		first++
	}
	for end > first && s.Latency[end-1] == 0 {
		end--
	}
	return RouteSum{
		Route: s.Route, Calls: s.Calls, Failures: s.Failures, First: first,
		Latency: append([]uint32(nil), s.Latency[first:end]...),
	}
}

// UnpackSums reverses PackSums. Buckets out of range, for example from another release of the daemon, are counted in the
// nearest bucket.
func UnpackSums(packed []ServiceSums) []model.KeyedSum {
	var sums []model.KeyedSum
	for _, p := range packed {
		for _, r := range p.Routes {
			s := model.KeyedSum{
				OutcomeKey: model.OutcomeKey{Service: p.Service, Route: r.Route, Version: p.Version},
				OutcomeSum: model.OutcomeSum{Calls: r.Calls, Failures: r.Failures},
			}
			for i, n := range r.Latency {
				s.Latency[min(max(r.First+i, 0), model.LatencyBuckets-1)] += n
			}
			sums = append(sums, s)
		}
	}
	return sums
}
