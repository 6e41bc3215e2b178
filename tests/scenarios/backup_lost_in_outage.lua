-- One of three backups crashes while the platform is down, so it cannot be
-- replaced. The host keeps serving, and is recovered after its own crash.
fleet { hosts = 4, prepaid = 2000 }
local warm = arrive (0, 0, 600, 10)
run (2000)
finish (warm)
run (200)
platform (0)
crash (3)
run (3000)
local request = arrive (0, 0, 100, 70)
run (500)
assert (is_running (request),
        "request not running with one of three backups lost")
finish (request)
run (500)
crash (0)
run (2000)
platform (1)
settle ()
assert (bills (request) == 1)
