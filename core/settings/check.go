package settings

import (
	"math"
	"strconv"
	"strings"
	"time"

	"cardamomward/core/id"
)

// checkFleet reports combinations of valid values that do not work together.
func (t *Tree) checkFleet(r *report) {
	t.checkDuplicateUpstreams(r)
	for _, e := range t.services.entries {
		if !e.inCycle && t.services.byName[e.name] == e {
			t.checkService(r, e)
		}
	}
	reported := make(map[position]bool)
	for _, e := range t.workspaces.entries {
		for _, item := range e.ownSettings[keyServices].value.Items {
			t.checkServiceReference(r, joinPath(e.path, keyServices), item)
		}
		if !e.inCycle && t.workspaces.byName[e.name] == e {
			w := t.fleet.Workspaces[id.Workspace(e.name)]
			t.checkBudget(r, e, w, reported)
			checkBurst(r, e, w, reported)
		}
	}
}

// checkDuplicateUpstreams reports names and addresses that more than one upstream has.
func (t *Tree) checkDuplicateUpstreams(r *report) {
	byName := make(map[id.Upstream]position)
	byAddress := make(map[string]position)
	for _, e := range t.services.entries {
		value := e.ownSettings[keyUpstreams].value
		for i, u := range value.upstreams {
			positions := value.upstreamPositions[i]
			if first, ok := byName[u.ID]; ok && u.ID != "" {
				r.add(positions.name, joinPath(positions.path, keyName),
					"the name %q is used twice, first at %s; allowed is once in all services", u.ID, first)
			} else {
				byName[u.ID] = positions.name
			}
			address := canonicalAddress(u.Address)
			if first, ok := byAddress[address]; ok && address != "" {
				r.add(positions.address, joinPath(positions.path, keyAddress),
					"the address %q is used twice, first at %s; allowed is once in all services", u.Address, first)
			} else {
				byAddress[address] = positions.address
			}
		}
	}
}

// checkService reports missing and conflicting keys of a service.
func (t *Tree) checkService(r *report, e *entry[Service]) {
	s := t.fleet.Services[id.Service(e.name)]
	t.checkKeysForKind(r, e, s.Kind)
	if len(s.Upstreams) > 0 && s.Kind == "" && e.isValid(keyKind) {
		r.add(e.ownSettings[keyUpstreams].position, joinPath(e.path, keyKind), "a service with upstreams has no kind; allowed is %s",
			mustFindSpec(serviceKeys, keyKind).DescribeAllowed())
	}
	if len(s.Upstreams) > 0 && s.Kind == KindEngine && s.Model == "" && e.isValid(keyModel) {
		r.add(e.ownSettings[keyUpstreams].position, joinPath(e.path, keyModel), "engines have no model; allowed is %s",
			mustFindSpec(serviceKeys, keyModel).DescribeAllowed())
	}
	checkTimeouts(r, e, s)
}

// checkKeysForKind reports keys that do not apply to the service's kind.
func (t *Tree) checkKeysForKind(r *report, e *entry[Service], kind Kind) {
	if kind == "" {
		return
	}
	for i := range serviceKeys {
		spec := &serviceKeys[i].Spec
		ownSetting, ok := e.ownSettings[spec.Name]
		if !ok || spec.Kind == "" || spec.Kind == kind {
			continue
		}
		if spec.Type == TypeFlag && !ownSetting.value.Flag {
			continue
		}
		r.add(ownSetting.position, joinPath(e.path, spec.Name), "the key does not apply to a service of kind %s; allowed is kind %s", kind, spec.Kind)
	}
}

// checkTimeouts reports a progress-timeout above the timeout of the whole call, if either is set in the document.
func checkTimeouts(r *report, e *entry[Service], s *Service) {
	if s.Kind == KindPlain || s.ProgressTimeout <= s.Timeout || !e.isValid(keyTimeout, keyProgressTimeout) {
		return
	}
	origin, nearest, _ := e.nearestSetting(mustFindSpec(serviceKeys, keyProgressTimeout))
	key := keyProgressTimeout
	if timeout, ok := e.ownSettings[keyTimeout]; ok && origin != e {
		origin, nearest, key = e, timeout, keyTimeout
	}
	if origin == nil {
		return
	}
	r.add(nearest.position, joinPath(origin.path, key), "the progress-timeout %s is above the timeout %s of %s; allowed is up to the timeout",
		formatDuration(s.ProgressTimeout), formatDuration(s.Timeout), e.name)
}

// minBurstDuration is the minimum time in which a workspace's rate may refill its whole burst. Hosts request shares of the
// burst, and the shares of a smaller burst would expire in transit.
const minBurstDuration = 40 * time.Millisecond

// checkBurst reports a burst that is too small for the hosts to share at the workspace's rate.
func checkBurst(r *report, e *entry[Workspace], w *Workspace, reported map[position]bool) {
	minBurst := int64(math.Ceil(float64(w.Rate) * minBurstDuration.Seconds()))
	if w.Burst >= minBurst || !e.isValid(keyRate, keyBurst) {
		return
	}
	origin, nearest, key := e, setting{position: e.position}, keyBurst
	for _, name := range []string{keyRate, keyBurst} {
		if found, s, ok := e.nearestSetting(mustFindSpec(workspaceKeys, name)); ok && (found == e || origin == e && nearest.position == e.position) {
			origin, nearest, key = found, s, name
		}
	}
	if reported[nearest.position] {
		return
	}
	reported[nearest.position] = true
	r.add(nearest.position, joinPath(origin.path, key), "the burst of %d is below what the rate of %s admits in %s; allowed is a burst of at least %d",
		w.Burst, formatRate(w.Rate), minBurstDuration, minBurst)
}

func formatRate(rate Rate) string { return strconv.FormatFloat(float64(rate), 'g', 4, 64) + "/s" }

// checkServiceReference reports an item of a workspace's services that does not exist or has no upstreams.
func (t *Tree) checkServiceReference(r *report, path string, item Item) {
	s, ok := t.fleet.Services[id.Service(item.Text)]
	if !ok {
		r.add(item.position, path, "there is no service %q%s; allowed are services of this document",
			item.Text, r.suggestName(item.Text, t.services.entryNames()))

		return
	}
	if _, set := t.services.byName[item.Text].ownSettings[keyUpstreams]; set && len(s.Upstreams) > 0 {
		return
	}
	r.add(item.position, path, "the service %q has no upstreams; allowed are services with upstreams%s", item.Text, t.suggestChildren(s.ID))
}

// suggestChildren returns a hint with up to maxChildren child services that have upstreams, or "" if there are none.
func (t *Tree) suggestChildren(group id.Service) string {
	const maxChildren = 5
	var children []string
	for _, s := range t.fleet.SortedServices() {
		if s.Parent == group && len(s.Upstreams) > 0 && len(children) < maxChildren {
			children = append(children, string(s.ID))
		}
	}
	if len(children) == 0 {
		return ""
	}

	return ", such as " + strings.Join(children, ", ")
}

// checkBudget reports a token budget below max-tokens of an engine service that the workspace may use.
func (t *Tree) checkBudget(r *report, e *entry[Workspace], w *Workspace, reported map[position]bool) {
	if !e.isValid(keyBudget) {
		return
	}
	pos, path := e.position, e.path
	if origin, nearest, ok := e.nearestSetting(mustFindSpec(workspaceKeys, keyBudget)); ok {
		pos, path = nearest.position, joinPath(origin.path, keyBudget)
	}
	for _, name := range w.Services {
		s, ok := t.fleet.Services[name]
		if !ok || s.Kind != KindEngine || w.Budget >= s.MaxTokens || reported[pos] || !t.services.byName[string(name)].isValid(keyMaxTokens) {
			continue
		}
		reported[pos] = true
		r.add(pos, path, "the budget of %d tokens is below max-tokens of service %s, %d tokens; allowed is at least that",
			w.Budget, s.ID, s.MaxTokens)
	}
}
