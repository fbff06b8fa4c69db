# Feeds the adapter bad lines, each to a process of its own; prints the complaint and whether it ended with one.
say() {
  printf '%s\n' "$1" | "$host" 2>&1
  [ $? -eq 0 ] && echo "  -> exit 0" || echo "  -> exit with an error"
}
host=$1
say 'not json'
say '{"frame":1,"msgs":[]}'
say '{"sim-time":5,"frame":2,"msgs":{}}'
say '{"sim-time":5,"frame":3,"msgs":[{"type":"Ring","gatherer":9,"ref":1}]}'
say '{"sim-time":5,"frame":4,"msgs":[{"type":"Create","gatherer":0,"rng-seed":1,"params":{}}]}'
say '{"sim-time":5,"frame":5,"msgs":[{"type":"Create","gatherer":0,"rng-seed":1,"params":{"categories":[{"deadline":-3}]}}]}'
ok='{"type":"Create","gatherer":0,"rng-seed":1,"params":{"categories":[{"deadline":3000000}]}}'
say '{"sim-time":5,"frame":6,"msgs":['"$ok"',{"type":"Topology","gatherer":0,"kind":"all","revision":1,"sheet":7}]}'
say '{"sim-time":5,"frame":7,"msgs":['"$ok"',{"type":"Finished","gatherer":0,"request-id":"00000000000000aa","try":0,"rc":"odd"}]}'
say '{"sim-time":5,"frame":8,"msgs":['"$ok"',{"type":"Arrival","gatherer":0,"request-id":"short","query-no":1,"slice":-1,"heft":1,"drop-dead":9}]}'
say '{"sim-time":5,"frame":9,"msgs":['"$ok"',{"type":"Novelty","gatherer":0},{"type":"Finished","gatherer":0,"request-id":"00000000000000aa","try":0,"rc":"delivered","new-field":3}]}'
