-- Operators alternately lower and raise one budget while hosts draw from it.
fleet { hosts = 4, prepaid = 2000 }
local requests = {}
for i = 1, 30 do
  requests[i] = arrive (i % 4, 0, 80, 60)
  run (100)
  prepaid (0, i % 2 == 0 and 2000 or 300)
  run (200)
  if i > 3 then finish (requests[i - 3]) end
end
prepaid (0, 100)
run (5000)
local late = arrive (0, 0, 90, 90)
run (5000)
assert (was_refused (late),
        "request for 90 tokens not refused on the lowered budget")
settle ()
