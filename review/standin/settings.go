package main

// windhoek returns settings like those of results-windhoek, whose list is told only on request.
func windhoek() object {
	return object{
		"balancers": 3, "azs": []string{"dc1"}, "kinds": []string{"large", "small"}, "membership-mode": "ask",
		"weight-kind": "rough", "tick-ms": 5,
		"classes": []object{
			{"name": "update", "repeat": "guarded", "group": "all", "memory-span-ms": 25000, "promise-ms": 4000,
				"deadline-ms": 24000, "importance": 2, "late-worth": 0.5},
			{"name": "line", "repeat": "single_shot", "group": "all", "promise-ms": 3000, "deadline-ms": 28000, "importance": 1,
				"late-worth": 0.4},
		},
		"tenants": []object{{"name": "press", "quota-rps": 30}, {"name": "weekly", "quota-rps": 25},
			{"name": "radio", "quota-rps": 12}},
		"over-share-worth": 0.05,
		"family-info":      object{"max-calls": 16, "batch-by-kind": []int{1, 1}, "separate-routes": []bool{false, false}},
		"policy-limits":    object{"most-held": 200, "max-attempts": 8, "dial-timeout-ms": 1000, "idle-close-ms": 5000},
		"guarantees": object{"cold-from": 0.22, "cold-ms": 9700, "overload-factor": 2, "fall-ms": 3000, "stop-sending-within-ms": 500,
			"grace-to-answer-ms": 300},
	}
}

// dar returns settings like those of dar-delivery, whose list is pushed.
func dar() object {
	return object{
		"balancers": 2, "azs": []string{"dc1"}, "kinds": []string{"bulk", "plain"}, "membership-mode": "push",
		"weight-kind": "nominal", "tick-ms": 5,
		"classes": []object{
			{"name": "usage", "repeat": "guarded", "group": "all", "memory-span-ms": 12000, "promise-ms": 2500,
				"deadline-ms": 20000, "importance": 1, "late-worth": 0.4},
			{"name": "status", "repeat": "free", "group": "all", "memory-span-ms": 5000, "promise-ms": 2500, "deadline-ms": 16000,
				"importance": 1, "late-worth": 0.3},
			{"name": "purchase", "repeat": "single_shot", "group": "all", "memory-span-ms": 5000, "promise-ms": 4000,
				"deadline-ms": 24000, "importance": 3, "late-worth": 0.3, "sequential": true},
		},
		"tenants": []object{{"name": "power", "quota-rps": 20}, {"name": "housing", "quota-rps": 10},
			{"name": "coop", "quota-rps": 5}},
		"over-share-worth": 0.05,
		"family-info":      object{"max-calls": 8, "batch-by-kind": []int{20, 1}, "separate-routes": []bool{false, false}},
		"policy-limits":    object{"most-held": 100, "max-attempts": 8, "dial-timeout-ms": 1500, "idle-close-ms": 15000},
		"guarantees": object{"cold-from": 0.2, "cold-ms": 14000, "overload-factor": 2, "fall-ms": 1500, "stop-sending-within-ms": 500,
			"grace-to-answer-ms": 300, "turn-gap-ms": 0},
	}
}
