//! Placement, classes, limits, shares, admission and retry budgets.
