// Package crash knows requests again by what they are, and which of them had upstream instances end under them, so that one that ends each
// instance that runs it is refused by all entries. What an entry has seen travels over the links between entries and through the store.
package crash
