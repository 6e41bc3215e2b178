-- A host crashes with a running request and free tokens. The free tokens are
-- returned to the budget, and the running request is billed once.
fleet { hosts = 4, prepaid = 1000 }
local request = arrive (0, 0, 300, 200)
run (1000)
assert (is_running (request))
crash (0)
run (10000)
local large = arrive (1, 0, 700, 700)
run (3000)
assert (is_running (large),
        "the crashed host's tokens were not returned within 10 s")
settle ()
assert (bills (request) == 1 and bills (large) == 1)
