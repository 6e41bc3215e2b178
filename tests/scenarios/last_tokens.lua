-- The last tokens of a budget are spread over all hosts; a request that needs
-- them all is served.
fleet { hosts = 5, prepaid = 1000 }
for host = 0, 4 do
  local request = arrive (host, 0, 100, 5)
  run (600)
  finish (request)
end
run (300)
local all = arrive (2, 0, 960, 960)
run (2500)
assert (is_running (all),
        "tokens held by other hosts were not obtained within 2.5 s")
settle ()
assert (bills (all) == 1)
