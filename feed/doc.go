// Package feed keeps an entry's subscriptions to the group loads that agents publish: two live links to
// agents of each group, of the entry's own failure domain where possible.
package feed
