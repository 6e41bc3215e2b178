-- A caller repeats its request at another host: while it runs, after it ended,
-- and after its home host crashed, when the outcome is unknown.
fleet { hosts = 4, prepaid = 1000 }
local request = arrive (0, 0, 100, 80)
run (1500)
assert (query (1, request) == "yes")
finish (request)
run (3000)
assert (query (2, request) == "yes")
crash (0)
assert (query (1, request) == "unknown")
settle ()
assert (bills (request) == 1)
