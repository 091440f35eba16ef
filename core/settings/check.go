package settings

import (
	"math"
	"strconv"
	"strings"
	"time"

	"cardamomward/core/id"
)

// check looks for combinations that cannot work.
func (t *Tree) check(r *report) {
	t.checkUpstreams(r)
	for _, e := range t.services.entries {
		if !e.broken && t.services.byName[e.name] == e {
			t.checkService(r, e)
		}
	}
	seen := make(map[place]bool)
	for _, e := range t.workspaces.entries {
		for _, item := range e.own[keyServices].value.Items {
			t.checkReference(r, join(e.path, keyServices), item)
		}
		if !e.broken && t.workspaces.byName[e.name] == e {
			w := t.fleet.Workspaces[id.Workspace(e.name)]
			t.checkBudget(r, e, w, seen)
			checkBurst(r, e, w, seen)
		}
	}
}

// checkUpstreams looks for names and addresses of upstreams that stand twice.
func (t *Tree) checkUpstreams(r *report) {
	byName := make(map[id.Upstream]place)
	byAddress := make(map[string]place)
	for _, e := range t.services.entries {
		value := e.own[keyUpstreams].value
		for i, u := range value.upstreams {
			at := value.places[i]
			if first, ok := byName[u.ID]; ok && u.ID != "" {
				r.add(at.name, join(at.path, keyName),
					"the name %q stands twice, first at %s; allowed is once in all services", u.ID, first)
			} else {
				byName[u.ID] = at.name
			}
			address := sameAddress(u.Address)
			if first, ok := byAddress[address]; ok && address != "" {
				r.add(at.address, join(at.path, keyAddress),
					"the address %q stands twice, first at %s; allowed is once in all services", u.Address, first)
			} else {
				byAddress[address] = at.address
			}
		}
	}
}

func (t *Tree) checkService(r *report, e *entry[Service]) {
	s := t.fleet.Services[id.Service(e.name)]
	t.checkKind(r, e, s.Kind)
	if len(s.Upstreams) > 0 && s.Kind == "" && e.valid(keyKind) {
		r.add(e.own[keyUpstreams].at, join(e.path, keyKind), "a service with upstreams has no kind; allowed is %s",
			specOf(serviceKeys, keyKind).Allowed())
	}
	if len(s.Upstreams) > 0 && s.Kind == KindEngine && s.Model == "" && e.valid(keyModel) {
		r.add(e.own[keyUpstreams].at, join(e.path, keyModel), "engines have no model; allowed is %s",
			specOf(serviceKeys, keyModel).Allowed())
	}
	checkTimeouts(r, e, s)
}

// checkKind reports keys that mean nothing for the kind of service.
func (t *Tree) checkKind(r *report, e *entry[Service], kind Kind) {
	if kind == "" {
		return
	}
	for i := range serviceKeys {
		spec := &serviceKeys[i].Spec
		own, ok := e.own[spec.Name]
		if !ok || spec.Kind == "" || spec.Kind == kind {
			continue
		}
		if spec.Type == TypeFlag && !own.value.Flag {
			continue
		}
		r.add(own.at, join(e.path, spec.Name), "the key means nothing for a service of kind %s; allowed is kind %s", kind, spec.Kind)
	}
}

// checkTimeouts compares the longest silence with the whole call's timeout, where either is set.
func checkTimeouts(r *report, e *entry[Service], s *Service) {
	if s.Kind == KindPlain || s.Progress <= s.Timeout || !e.valid(keyTimeout, keyProgress) {
		return
	}
	origin, own, _ := e.find(specOf(serviceKeys, keyProgress))
	key := keyProgress
	if timeout, ok := e.own[keyTimeout]; ok && origin != e {
		origin, own, key = e, timeout, keyTimeout
	}
	if origin == nil {
		return
	}
	r.add(own.at, join(origin.path, key), "the progress-timeout %s is above the timeout %s of %s; allowed is up to the timeout",
		formatDuration(s.Progress), formatDuration(s.Timeout), e.name)
}

// minBurst is the shortest time in which a workspace's rate may admit its whole burst. Hosts use parts of
// the burst that they ask for, and those of a smaller burst expire on their way.
const minBurst = 40 * time.Millisecond

// checkBurst reports a burst that is too small to be shared by hosts at the workspace's rate.
func checkBurst(r *report, e *entry[Workspace], w *Workspace, seen map[place]bool) {
	least := int64(math.Ceil(float64(w.Rate) * minBurst.Seconds()))
	if w.Burst >= least || !e.valid(keyRate, keyBurst) {
		return
	}
	origin, own, key := e, setting{at: e.at}, keyBurst
	for _, name := range []string{keyRate, keyBurst} {
		if found, s, ok := e.find(specOf(workspaceKeys, name)); ok && (found == e || origin == e && own.at == e.at) {
			origin, own, key = found, s, name
		}
	}
	if seen[own.at] {
		return
	}
	seen[own.at] = true
	r.add(own.at, join(origin.path, key), "the burst of %d is below what the rate of %s admits in %s; allowed is a burst of at least %d",
		w.Burst, formatRate(w.Rate), minBurst, least)
}

func formatRate(rate Rate) string { return strconv.FormatFloat(float64(rate), 'g', 4, 64) + "/s" }

// checkReference looks at one service of a workspace's list.
func (t *Tree) checkReference(r *report, path string, item Item) {
	s, ok := t.fleet.Services[id.Service(item.Text)]
	if !ok {
		r.add(item.at, path, "there is no service %q%s; allowed are services of this document",
			item.Text, r.hint(item.Text, t.services.names()))

		return
	}
	if _, set := t.services.byName[item.Text].own[keyUpstreams]; set && len(s.Upstreams) > 0 {
		return
	}
	r.add(item.at, path, "the service %q has no upstreams; allowed are services with upstreams%s", item.Text, t.childrenHint(s.ID))
}

// childrenHint names the services below a group.
func (t *Tree) childrenHint(group id.Service) string {
	const most = 5
	var below []string
	for _, s := range t.fleet.SortedServices() {
		if s.Parent == group && len(s.Upstreams) > 0 && len(below) < most {
			below = append(below, string(s.ID))
		}
	}
	if len(below) == 0 {
		return ""
	}

	return ", such as " + strings.Join(below, ", ")
}

// checkBudget reports a budget that does not suffice for one call of a service.
func (t *Tree) checkBudget(r *report, e *entry[Workspace], w *Workspace, seen map[place]bool) {
	if !e.valid(keyBudget) {
		return
	}
	at, path := e.at, e.path
	if origin, own, ok := e.find(specOf(workspaceKeys, keyBudget)); ok {
		at, path = own.at, join(origin.path, keyBudget)
	}
	for _, name := range w.Services {
		s, ok := t.fleet.Services[name]
		if !ok || s.Kind != KindEngine || w.Budget >= s.MaxTokens || seen[at] || !t.services.byName[string(name)].valid(keyMaxTokens) {
			continue
		}
		seen[at] = true
		r.add(at, path, "the budget of %d tokens does not suffice for max-tokens of service %s, %d tokens; allowed is at least that",
			w.Budget, s.ID, s.MaxTokens)
	}
}
