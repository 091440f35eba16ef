package aggregationtree

import "cardamomward/core/id"

// Tree lists the neighbours of each host.
type Tree map[id.Host][]id.Host

// TwoLevel returns a tree in which the first host of each failure domain, its head, is connected to all other hosts of
// the domain, and the head of the first domain to the heads of the other domains.
func TwoLevel(domains [][]id.Host) Tree {
	widest := 1
	for _, hosts := range domains {
		widest = max(widest, len(hosts))
	}

	return Layered(domains, widest)
}

// Layered returns a tree like that of TwoLevel in which each host has at most maxChildren children in its domain.
func Layered(domains [][]id.Host, maxChildren int) Tree {
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
			tree.connect(root, head)
		}
		for i, host := range hosts[1:] {
			tree.connect(hosts[i/maxChildren], host)
		}
	}

	return tree
}

func (t Tree) connect(a, b id.Host) {
	t[a] = append(t[a], b)
	t[b] = append(t[b], a)
}
