-- The platform is down for an hour. Hosts serve from the tokens that they hold
-- and refuse further requests; the bills are written when it is back.
fleet { hosts = 4, prepaid = 10000 }
local warm = arrive (0, 0, 400, 400)
run (1000)
finish (warm)
run (500)
platform (0)
local served, refused = {}, 0
for i = 1, 40 do
  local request = arrive (0, 0, 50, 50)
  run (100)
  if is_running (request) then
    served[#served + 1] = request
    finish (request)
  end
  run (3000)
  if was_refused (request) then refused = refused + 1 end
end
assert (#served > 0, "no request was served from the grant")
run (3600 * 1000)
platform (1)
settle ()
for _, request in ipairs (served) do assert (bills (request) == 1) end
