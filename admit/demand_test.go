package admit

import "testing"

// TestClassTellsApartEqualAccounts guards against accounts of one priority whose least urgent requests are taken for
// as urgent as their most urgent ones, and against a class that goes before an account of higher priority.
func TestClassTellsApartEqualAccounts(t *testing.T) {
	first, second := 0, 1
	order := []Demand{
		{AccountRank: &first, ClassRank: 0},
		{AccountRank: &first, ClassRank: 2},
		{AccountRank: &second, ClassRank: 0},
		{AccountRank: &second, ClassRank: 2},
		{AccountRank: &second, ClassRank: 9},
		{ClassRank: 2},
		{ClassRank: 9},
	}
	for i := 1; i < len(order); i++ {
		if order[i-1].rank() >= order[i].rank() {
			t.Errorf("%+v has rank %d, %+v has %d", order[i-1], order[i-1].rank(), order[i], order[i].rank())
		}
	}
}
