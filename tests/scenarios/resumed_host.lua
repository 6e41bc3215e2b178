-- A host is paused, taken for dead and recovered; its tokens are spent on
-- another host. When it resumes, it must not spend them again, in whatever
-- order it receives the news of its recovery.
for seed = 1, 30 do
  fleet { hosts = 4, prepaid = 1000, seed = seed, weakness = weakness or 0 }
  local first = arrive (0, 0, 400, 400)
  run (2000)
  assert (is_running (first))
  finish (first)
  run (3000)
  local second = arrive (0, 0, 300, 100)
  run (500)
  finish (second)
  run (100)
  assert (available (0, 0) > 60,
          "host 0 holds too few free tokens before the pause")
  pause (0)
  silence (0)
  run (9000)
  local third = arrive (1, 0, 500, 500)
  run (3000)
  assert (is_running (third), "the returned tokens cannot be spent on host 1")
  -- These requests are the first events that the host handles on resuming.
  resume (0)
  for i = 1, 5 do arrive (0, 0, 60, 60) end
  settle ()
  assert (settled (0) <= 1000)
  assert (bills (second) == 1)
end
