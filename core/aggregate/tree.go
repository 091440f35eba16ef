package aggregate

import "cardamomward/core/id"

// Tree lists the neighbours of each host.
type Tree map[id.Host][]id.Host

// TwoLevel returns the tree in which the first host of each failure domain is joined to the rest of its
// domain, and the first host of the first domain to the first hosts of the others.
func TwoLevel(domains [][]id.Host) Tree {
	tree := make(Tree)
	var root id.Host
	for _, hosts := range domains {
		if len(hosts) == 0 {
			continue
		}
		head := hosts[0]
		if root == "" {
			root = head
		} else {
			tree.join(root, head)
		}
		for _, host := range hosts[1:] {
			tree.join(head, host)
		}
	}

	return tree
}

func (t Tree) join(a, b id.Host) {
	t[a] = append(t[a], b)
	t[b] = append(t[b], a)
}
