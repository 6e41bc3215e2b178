-- Two hosts crash one after the other, the second while it recovers the first.
fleet { hosts = 5, prepaid = 1000 }
local first = arrive (0, 0, 200, 150)
local second = arrive (1, 0, 200, 150)
run (1000)
crash (0)
run (3500)
crash (1)
run (60000)
settle ()
assert (bills (first) == 1 and bills (second) == 1)
assert (settled (0) <= 1000)
