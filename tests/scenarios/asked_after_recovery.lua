-- The home host of three requests crashes. The host that recovers it reports
-- one as ended, one as possibly run and one as never run.
fleet { hosts = 4, prepaid = 1000 }
local ended = arrive (0, 0, 100, 80)
run (1500)
finish (ended)
run (500)
local ran = arrive (0, 0, 100, 80)
run (1500)
assert (is_running (ran))
local never = arrive (0, 0, 2000, 2000)
crash (0)
assert (query (1, never) == "unknown",
        "the outcome was known before the recovery")
run (12000)
local answers = {}
for host = 1, 3 do
  answers["ended " .. query (host, ended)] = true
  answers["ran " .. query (host, ran)] = true
  answers["never " .. query (host, never)] = true
end
assert (answers["ended yes"], "no host reports the ended request as run")
assert (answers["never no"], "no host reports the third request as never run")
assert (not (answers["ended no"] or answers["ran no"] or answers["ran yes"]
             or answers["never yes"]))
settle ()
assert (bills (ended) == 1 and bills (ran) == 1 and bills (never) == 0)
