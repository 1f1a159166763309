# Machines that are to go, and what that may cost; every field. Hand the file over with --policy FILE, together with
# what else is to differ from the defaults (policy.example.hcl). docs/drains.md tells what happens.

drain "new-image" {
  version    = 1            # a higher one replaces what is stored
  state      = "running"    # or paused, ended
  zones      = ["a"]        # which machines: empty or left out for all
  types      = ["g8"]
  kind       = "ordinary"   # or spot; left out for both
  machines   = ["host-000231", "host-000232"]
  then       = "replace"    # or return
  step       = 10           # machines on their way out at once; a share of all if below 1
  surge      = 10           # machines held beyond what is wanted meanwhile
  pause_s    = 5            # between two choices of machines
  patience_s = 120          # how long work may run out before it is stopped
  replica_waits_s = 5       # the plan waits while a replica has waited longer
  work_waits_s    = 15      # and while other work has
}

budget "vision" {
  down           = 0.1      # tasks that may be down at once, or their share if below 1
  stops_per_hour = 600      # left out: as many as need be
}

budget "vision" {
  class = "search"          # of this class alone; all budgets that cover a task count
  down  = 2
}
