-- A host that is stopped first settles its bills and returns its grant.
fleet { hosts = 4, prepaid = 1000 }
local request = arrive (0, 0, 100, 80)
run (1500)
stop (0)
assert (is_running (request), "the stop interrupted a running request")
finish (request)
run (8000)
assert (bills (request) == 1)
assert (granted (0) == 0, "tokens are still granted")
local refused = arrive (0, 0, 100, 80)
assert (was_refused (refused))
settle ()
