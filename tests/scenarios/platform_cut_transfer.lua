-- The platform is down, and only one of two hosts has tokens left. They are
-- transferred between the peers, and the total stays within the budget.
fleet { hosts = 4, prepaid = 1000 }
local first = arrive (1, 0, 500, 10)
local second = arrive (0, 0, 10, 10)
run (1500)
platform (0)
finish (first)
finish (second)
run (500)
assert (available (1, 0) > 100, "host 1 holds no tokens to transfer")
local third = arrive (0, 0, 100, 100)
run (1500)
assert (is_running (third), "no tokens were transferred from the peer")
crash (1)
run (2000)
platform (1)
settle ()
assert (bills (third) == 1 and bills (first) == 1)
