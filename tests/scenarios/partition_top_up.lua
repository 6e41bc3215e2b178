-- Host 0 is partitioned from the others but reaches the platform, and the
-- budget is raised meanwhile. Both sides keep serving without overspending.
fleet { hosts = 4, prepaid = 500 }
for other = 1, 3 do cut (0, other) end
run (5000)
prepaid (0, 2000)
local on_host_0 = arrive (0, 0, 300, 300)
local on_host_1 = arrive (1, 0, 300, 300)
run (5000)
assert (is_running (on_host_1), "request on the majority side not running")
for other = 1, 3 do heal (0, other) end
run (5000)
finish (on_host_1)
finish (on_host_0)
settle ()
assert (settled (0) <= 2000)
