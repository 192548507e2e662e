package controller

import (
	"slices"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/authenticator"
	"heatherhold.dev/router/observer"
)

// publish puts the state in force for traffic. It runs on the control loop.
func (c *Controller) publish() {
	c.build()
	if c.parsed == nil {
		return
	}
	if !c.state.Self.GetGone() {
		c.Observer.Confirm(c.state.ConfirmedUntil())
	}
	live := c.state.Live()
	if c.state.Edits() == c.edits && slices.Equal(live, c.live) {
		return
	}
	c.edits, c.live = c.state.Edits(), live
	c.Observer.Publish(&observer.View{
		Revision:    c.built,
		Declaration: c.parsed,
		Index:       c.index,
		Live:        live,
		Peers:       c.peers(),
		Endpoints:   c.endpoints(),
		Site:        c.site,
		Fleet:       c.fleetByService(),
	})
}

// build parses the declarations if their revision is new.
func (c *Controller) build() {
	if c.state.Revision() == c.built {
		return
	}
	d, err := c.parse()
	if err != nil {
		// Declarations are checked before they are committed.
		c.Log.WithError(err).WithField("revision", c.state.Revision()).Error("declarations not understood; the instance serves nothing")
		c.state.Invalid()
		return
	}
	c.parsed = d
	c.index = authenticator.New(d, c.Settings.Operator.KeySHA256)
	c.built = c.state.Revision()
	c.Log.WithField("revision", c.built).Info("configuration in force")
}

// parse reads the declarations: only the sections that changed, where the
// changes since the last time are known.
func (c *Controller) parse() (*declarer.Declaration, error) {
	if c.Source != nil {
		site, err := c.read()
		if err != nil {
			return nil, err
		}
		c.site = site
		return declare(site), nil
	}
	changes, ok := c.state.Since(c.built)
	if !ok || c.parsed == nil {
		return c.state.Document().At(c.Settings.Site)
	}
	var keys []declarer.Key
	for _, change := range changes {
		for _, e := range change.GetEntries() {
			keys = append(keys, declarer.Key(e.GetKey()))
		}
	}
	return c.state.Document().Refresh(c.parsed, c.Settings.Site, keys)
}

// read returns the platform's configuration in force: as it was read when it
// came from the platform, else from what a peer has passed on.
func (c *Controller) read() (*cataloguer.Configuration, error) {
	if c.decoded != nil && c.decoded.Revision == c.state.Revision() {
		return c.decoded, nil
	}
	return c.Source.Decode(c.state.Document()[siteKey])
}

func (c *Controller) peers() map[identifier.Instance]string {
	peers := make(map[identifier.Instance]string)
	for _, m := range c.state.Members() {
		peers[identifier.Instance(m.GetInstance())] = m.GetAddress()
	}
	return peers
}

func (c *Controller) endpoints() map[identifier.Service][]observer.Endpoint {
	endpoints := make(map[identifier.Service][]observer.Endpoint)
	for _, l := range c.listed {
		life := lifeOf(l)
		if l.Role == routerRole || l.Leaving || c.state.Marked(life) {
			continue
		}
		service := identifier.Service(l.Role)
		endpoints[service] = append(endpoints[service], observer.Endpoint{
			Life:       life,
			Address:    l.Address,
			DataCentre: identifier.DataCentre(l.DataCentre),
		})
	}
	return endpoints
}

// endpointsNamed returns what the list holds under a name. It runs on the control loop.
func (c *Controller) endpointsNamed(name identifier.Endpoint) []messenger.Listed {
	var out []messenger.Listed
	for _, l := range c.listed {
		if l.Role != routerRole && l.Name == string(name) {
			out = append(out, l)
		}
	}
	return out
}
