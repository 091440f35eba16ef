package gatewayhost

import (
	"maps"
	"slices"
)

// logUnknownWeights logs, once for each configuration, the weights of workspaces that the configuration does not have.
func (h *Host) logUnknownWeights() {
	config := h.discovery.Config()
	if config == nil || config == h.weightsConfig || h.proxy.Overload == nil {
		return
	}
	h.weightsConfig = config
	unknown := maps.Clone(h.proxy.Overload.Weights)
	for _, workspace := range config.Workspaces {
		delete(unknown, workspace.Name)
	}
	if len(unknown) > 0 {
		h.logger.Info("weights-unknown", "workspaces", slices.Sorted(maps.Keys(unknown)), "config", config.Version)
	}
}
