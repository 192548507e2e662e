package controller

import (
	"slices"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/assigner"
	"heatherhold.dev/router/authenticator"
	"heatherhold.dev/router/publisher"
)

// publish passes the current state to the publisher, for use by request handling.
// It publishes a new view only if something has changed. It runs on the control
// loop.
func (c *Controller) publish() {
	c.updateDeclaration()
	if c.declaration == nil || c.Source != nil && !c.discovered && time.Since(c.state.StartedAt) < discoveryLimit {
		return
	}
	if !c.state.Self.GetGone() {
		c.Publisher.Confirm(c.state.ConfirmedUntil())
	}
	// The view is published before its position: it must not be older.
	defer c.Publisher.SetList(c.fleet.listed())
	live := c.state.Live()
	if c.state.ChangeCount() == c.publishedChangeCount && slices.Equal(live, c.publishedLive) {
		return
	}
	c.publishedChangeCount, c.publishedLive = c.state.ChangeCount(), live
	candidates := c.state.Candidates()
	c.Publisher.Publish(&publisher.View{
		Revision:    c.parsedRevision,
		Declaration: c.declaration,
		Index:       c.index,
		Live:        live,
		Eligible:    assigner.Eligible(candidates),
		Readers:     assigner.Readers(c.Settings.Site, candidates),
		Peers:       c.peers(),
		Endpoints:   c.endpoints(),
		Site:        c.site,
		Fleet:       c.fleetByService(),
		Departures:  c.fleet.departures.certain(),
	})
}

// updateDeclaration parses the declarations if their revision is new.
func (c *Controller) updateDeclaration() {
	if c.state.Revision() == c.parsedRevision {
		return
	}
	d, err := c.parseDeclaration()
	if err != nil {
		// Not expected, because declarations are checked before they are committed.
		c.Log.WithError(err).WithField("revision", c.state.Revision()).Error("declarations not understood; the instance serves nothing")
		c.state.Revoke()
		return
	}
	c.declaration = d
	c.index = authenticator.New(d, c.Settings.Operator.KeySHA256)
	c.parsedRevision = c.state.Revision()
	c.Log.WithField("revision", c.parsedRevision).Info("configuration in force")
}

// parseDeclaration parses the declarations. Where the changes since the last
// parsed revision are available, it parses only the sections that changed.
func (c *Controller) parseDeclaration() (*declarer.Declaration, error) {
	if c.Source != nil {
		site, err := c.activeConfiguration()
		if err != nil {
			return nil, err
		}
		c.site = site
		return declarationOf(site), nil
	}
	changes, ok := c.state.Since(c.parsedRevision)
	if !ok || c.declaration == nil {
		return c.state.Document().At(c.Settings.Site)
	}
	var keys []declarer.Key
	for _, change := range changes {
		for _, e := range change.GetEntries() {
			keys = append(keys, declarer.Key(e.GetKey()))
		}
	}
	return c.state.Document().Refresh(c.declaration, c.Settings.Site, keys)
}

// activeConfiguration returns the platform's configuration in force. It uses the
// decoded form if the platform sent this revision; otherwise it decodes what a
// peer sent.
func (c *Controller) activeConfiguration() (*cataloguer.Configuration, error) {
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

func (c *Controller) endpoints() map[identifier.Service][]publisher.Endpoint {
	endpoints := make(map[identifier.Service][]publisher.Endpoint)
	for _, l := range c.listed {
		incarnation := incarnationOf(l)
		if l.Role == messenger.RouterRole || l.Leaving || c.state.Marked(incarnation) {
			continue
		}
		service := identifier.Service(l.Role)
		endpoints[service] = append(endpoints[service], publisher.Endpoint{
			EndpointIncarnation: incarnation,
			Address:             l.Address,
			DataCentre:          identifier.DataCentre(l.DataCentre),
		})
	}
	return endpoints
}

// endpointsNamed returns the entries of the list for an endpoint's name. It runs
// on the control loop.
func (c *Controller) endpointsNamed(name identifier.Endpoint) []messenger.ListedInstance {
	var out []messenger.ListedInstance
	for _, l := range c.listed {
		if l.Role != messenger.RouterRole && l.Name == string(name) {
			out = append(out, l)
		}
	}
	return out
}
