// Package swtree provides an ordered tree that sums the weights of its values.
package swtree

import "math/rand/v2"

// Tree is a treap: every operation but iteration takes logarithmic time on average.
type Tree[T any] struct {
	root *node[T]
	// less is a strict total order: two values of which neither is less are the same value.
	less func(a, b T) bool
	// random has a fixed seed, so that equal histories give equal trees.
	random rand.PCG
	size   int
}

type node[T any] struct {
	value       T
	weight      float64
	left, right *node[T]
	priority    uint64
	// sum is the weight of the node and of all nodes below it.
	sum float64
}

// New returns an empty tree.
func New[T any](less func(a, b T) bool) *Tree[T] { return &Tree[T]{less: less} }

// Len returns the number of values.
func (t *Tree[T]) Len() int { return t.size }

// Total returns the weight of all values.
func (t *Tree[T]) Total() float64 { return t.root.total() }

// Insert adds a value that the tree does not hold.
func (t *Tree[T]) Insert(value T, weight float64) {
	n := &node[T]{value: value, weight: weight, priority: t.random.Uint64(), sum: weight}
	t.root = t.insert(t.root, n)
	t.size++
}

// Delete removes a value and reports whether the tree held it.
func (t *Tree[T]) Delete(value T) bool {
	root, found := t.remove(t.root, value)
	t.root = root
	if found {
		t.size--
	}
	return found
}

// Min returns the least value.
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

// Before returns the weight of the values less than the given one.
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

// Next returns the least value that is greater than the given one.
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

// Ascend calls visit in ascending order until it returns false. The tree must not change meanwhile.
func (t *Tree[T]) Ascend(visit func(T) bool) { t.root.ascend(visit) }

func (n *node[T]) ascend(visit func(T) bool) bool {
	if n == nil {
		return true
	}
	return n.left.ascend(visit) && visit(n.value) && n.right.ascend(visit)
}

func (n *node[T]) total() float64 {
	if n == nil {
		return 0
	}
	return n.sum
}

func (n *node[T]) update() { n.sum = n.left.total() + n.weight + n.right.total() }

func (t *Tree[T]) insert(at, n *node[T]) *node[T] {
	if at == nil {
		return n
	}
	if n.priority > at.priority {
		n.left, n.right = t.split(at, n.value)
		n.update()
		return n
	}
	if t.less(n.value, at.value) {
		at.left = t.insert(at.left, n)
	} else {
		at.right = t.insert(at.right, n)
	}
	at.update()
	return at
}

// split divides a subtree into the values less than the given one and the others.
func (t *Tree[T]) split(at *node[T], value T) (left, right *node[T]) {
	if at == nil {
		return nil, nil
	}
	if t.less(at.value, value) {
		at.right, right = t.split(at.right, value)
		at.update()
		return at, right
	}
	left, at.left = t.split(at.left, value)
	at.update()
	return left, at
}

func (t *Tree[T]) remove(at *node[T], value T) (*node[T], bool) {
	if at == nil {
		return nil, false
	}
	found := true
	switch {
	case t.less(value, at.value):
		at.left, found = t.remove(at.left, value)
	case t.less(at.value, value):
		at.right, found = t.remove(at.right, value)
	default:
		return merge(at.left, at.right), true
	}
	at.update()
	return at, found
}

// merge joins two subtrees of which every value of left is less than every value of right.
func merge[T any](left, right *node[T]) *node[T] {
	switch {
	case left == nil:
		return right
	case right == nil:
		return left
	case left.priority > right.priority:
		left.right = merge(left.right, right)
		left.update()
		return left
	default:
		right.left = merge(left, right.left)
		right.update()
		return right
	}
}
