package leastcost

// ChooseFromSample is exported for the comparison of policies.
var ChooseFromSample = chooseFromSample
