package administrator

import (
	"net/http"
	"sort"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/authenticator"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/publisher"
)

// operatorIndex identifies operators, also before the first configuration: by the
// bootstrap key or by the declared keys.
type operatorIndex struct {
	declared  *authenticator.Index
	bootstrap string
}

// Operator returns the name of the operator who sent r, or an error if the key is
// not an operator's.
func (x operatorIndex) Operator(r *http.Request) (string, error) {
	name, err := authenticator.New(nil, x.bootstrap).Operator(r)
	if err == nil {
		return name, nil
	}
	return x.declared.Operator(r)
}

func endpointsOf(v *publisher.View) []messenger.StatusEndpoint {
	var out []messenger.StatusEndpoint
	for service, endpoints := range v.Endpoints {
		for _, e := range endpoints {
			out = append(out, messenger.StatusEndpoint{
				Service:     string(service),
				Endpoint:    string(e.Endpoint),
				Incarnation: uint64(e.Incarnation),
				DataCentre:  string(e.DataCentre),
				Address:     e.Address,
			})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Service != out[j].Service {
			return out[i].Service < out[j].Service
		}
		return out[i].Endpoint < out[j].Endpoint
	})
	return out
}

func poolsOf(loads map[granter.Key]granter.Load) []messenger.StatusPool {
	var out []messenger.StatusPool
	for key, l := range loads {
		out = append(out, messenger.StatusPool{
			Service:    string(key.Service),
			Standalone: key.Standalone,
			Waiting:    l.Waiting,
			Running:    l.Running,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}
