package configuration_test

import (
	"fmt"

	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

func Example() {
	base, err := configuration.New(
		configuration.WithModels(configuration.Model{ID: "stock", Version: "stock-1", Set: "front", MaxPromptTokens: 1_000_000}),
		configuration.WithVersions(configuration.Version{ID: "stock-1", Model: "stock", Artefact: "stock/2026-11"}),
		configuration.WithPriorities(configuration.Priority{ID: "crew", Level: 10}),
		configuration.WithServerSets(configuration.ServerSet{ID: "front"}.WithInstances("runner-2", "runner-1")),
		configuration.WithClientAccounts(configuration.ClientAccount{
			ID: "planners", KeyHash: configuration.HashKey("a secret"), Priority: "crew", ShareOfCapacity: 0.5,
		}),
	)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Print(string(base.Print()))

	next, err := base.With(configuration.WithPriorities(configuration.Priority{ID: "audit", Level: 1}))
	if err != nil {
		fmt.Println(err)
		return
	}
	change, err := configuration.Diff(base, next).WithID("add-audit").Print()
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Print(string(change))

	_, err = base.Without(configuration.Ref{Kind: configuration.KindPriority, ID: "crew"})
	fmt.Println(err)
	// Output:
	// {"format":1,
	//  "models":[
	//   {"id":"stock","version":"stock-1","set":"front","max_prompt_tokens":1000000}
	//  ],
	//  "versions":[
	//   {"id":"stock-1","model":"stock","artefact":"stock/2026-11"}
	//  ],
	//  "adapters":[],
	//  "client_accounts":[
	//   {"id":"planners","key_hash":"984ca5162200734c592148f1820b71057f098573d138666b48663e4e30cd8d3a","priority":"crew","requests_per_sec":0,"burst_requests":0,"share_of_capacity":0.5}
	//  ],
	//  "priorities":[
	//   {"id":"crew","level":10}
	//  ],
	//  "server_sets":[
	//   {"id":"front","instances":["runner-1","runner-2"],"engine_role":""}
	//  ],
	//  "service_routes":[]
	// }
	// {"format":1,"id":"add-audit","puts":[
	//   {"kind":"priority","id":"audit","level":1,"revision":0}
	//  ],"deletes":[]}
	// oleanderspool.invalid: priorities.crew: cannot be deleted: number of objects that refer to it: 1
}
