// Package swtree provides an ordered tree that sums the weights of its values.
package swtree

import "math/rand/v2"

// Tree is a treap: every operation except iteration takes logarithmic time on average.
type Tree[T any] struct {
	root *node[T]
	// less is a strict total order: if neither of two values is less, they are equal.
	less func(a, b T) bool
	// random has a fixed seed, so that the same sequence of operations always
	// produces the same tree.
	random rand.PCG
	size   int
}

// node is a node of the treap: its priority is at least that of its children.
type node[T any] struct {
	value       T
	weight      float64
	left, right *node[T]
	priority    uint64
	// sum is the total weight of the subtree rooted at the node.
	sum float64
}

// New returns an empty tree.
func New[T any](less func(a, b T) bool) *Tree[T] { return &Tree[T]{less: less} }

// Len returns the number of values.
func (t *Tree[T]) Len() int { return t.size }

// Total returns the total weight of all values.
func (t *Tree[T]) Total() float64 { return t.root.total() }

// Insert adds a value, which must not be in the tree yet.
func (t *Tree[T]) Insert(value T, weight float64) {
	n := &node[T]{value: value, weight: weight, priority: t.random.Uint64(), sum: weight}
	t.root = t.insert(t.root, n)
	t.size++
}

// Delete removes a value and reports whether it was in the tree.
func (t *Tree[T]) Delete(value T) bool {
	root, found := t.remove(t.root, value)
	t.root = root
	if found {
		t.size--
	}
	return found
}

// Min returns the least value, or false if the tree is empty.
func (t *Tree[T]) Min() (value T, ok bool) {
	n := t.root
	if n == nil {
		return value, false
	}
	for n.left != nil {
		n = n.left
	}
	return n.value, true
}

// Before returns the total weight of the values less than the given one.
func (t *Tree[T]) Before(value T) float64 {
	var sum float64
	for n := t.root; n != nil; {
		if t.less(n.value, value) {
			sum += n.left.total() + n.weight
			n = n.right
		} else {
			n = n.left
		}
	}
	return sum
}

// Next returns the least value greater than the given one, which need not be in the tree.
func (t *Tree[T]) Next(value T) (next T, ok bool) {
	for n := t.root; n != nil; {
		if t.less(value, n.value) {
			next, ok = n.value, true
			n = n.left
		} else {
			n = n.right
		}
	}
	return next, ok
}

// Ascend calls visit for each value in ascending order until visit returns false. The
// tree must not change meanwhile.
func (t *Tree[T]) Ascend(visit func(T) bool) { t.root.ascend(visit) }

// ascend visits the subtree of n in order and reports whether every visit returned true.
func (n *node[T]) ascend(visit func(T) bool) bool {
	if n == nil {
		return true
	}
	return n.left.ascend(visit) && visit(n.value) && n.right.ascend(visit)
}

// total returns the weight of the subtree of n, which may be nil.
func (n *node[T]) total() float64 {
	if n == nil {
		return 0
	}
	return n.sum
}

// updateSum recomputes the sum of n from its children.
func (n *node[T]) updateSum() { n.sum = n.left.total() + n.weight + n.right.total() }

// insert adds n to a subtree and returns its new root.
func (t *Tree[T]) insert(subtree, n *node[T]) *node[T] {
	if subtree == nil {
		return n
	}
	if n.priority > subtree.priority {
		n.left, n.right = t.split(subtree, n.value)
		n.updateSum()
		return n
	}
	if t.less(n.value, subtree.value) {
		subtree.left = t.insert(subtree.left, n)
	} else {
		subtree.right = t.insert(subtree.right, n)
	}
	subtree.updateSum()
	return subtree
}

// split splits a subtree into the values less than the given one and the others.
func (t *Tree[T]) split(subtree *node[T], value T) (left, right *node[T]) {
	if subtree == nil {
		return nil, nil
	}
	if t.less(subtree.value, value) {
		subtree.right, right = t.split(subtree.right, value)
		subtree.updateSum()
		return subtree, right
	}
	left, subtree.left = t.split(subtree.left, value)
	subtree.updateSum()
	return left, subtree
}

// remove removes a value from a subtree, and returns its new root and whether the
// value was found.
func (t *Tree[T]) remove(subtree *node[T], value T) (*node[T], bool) {
	if subtree == nil {
		return nil, false
	}
	found := true
	switch {
	case t.less(value, subtree.value):
		subtree.left, found = t.remove(subtree.left, value)
	case t.less(subtree.value, value):
		subtree.right, found = t.remove(subtree.right, value)
	default:
		return merge(subtree.left, subtree.right), true
	}
	subtree.updateSum()
	return subtree, found
}

// merge joins two subtrees. Every value of left must be less than every value of right.
func merge[T any](left, right *node[T]) *node[T] {
	switch {
	case left == nil:
		return right
	case right == nil:
		return left
	case left.priority > right.priority:
		left.right = merge(left.right, right)
		left.updateSum()
		return left
	default:
		right.left = merge(left, right.left)
		right.updateSum()
		return right
	}
}
