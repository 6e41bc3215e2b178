-- Writes to the platform take effect, but their answers are lost for a while.
fleet { hosts = 3, prepaid = 1000 }
local requests = {}
lose_answers (20)
for i = 1, 5 do
  requests[i] = arrive (i % 3, 0, 50, 40)
  run (700)
end
for i = 1, 5 do finish (requests[i]) end
lose_answers (10)
run (20000)
settle ()
for i = 1, 5 do
  if not was_refused (requests[i]) then assert (bills (requests[i]) == 1) end
end
