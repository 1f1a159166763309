# What stands round the scheduler, every field. Hand the file over with --policy FILE, together with what else is to differ
# from the defaults (policy.example.hcl). Without these blocks nothing of it is done or stored.

product {
  version = 1               # of all blocks here; the highest that any node was started with counts on all nodes
}

dawn "morning" {            # work that should be done by a time of the day
  by       = "06:00"        # local time
  zone     = "Europe/Ljubljana"
  opens    = "20:00"        # when its window opens, that day or the day before
  classes  = ["resize"]     # empty or left out for all arrays and gangs
  teams    = ["vision"]     # empty or left out for all
  margin_s = 900            # by how much earlier all should be done
  quantile = 0.9            # share of the run times that the plan counts on being enough
}

dawn "tide" {               # one that comes every so often, counted from 1970
  every_s = 21600
  lasts_s = 7200            # how long before each its window opens; left out for the whole time
}

headroom "search" {         # room for more replicas, for each class of services that it covers
  class    = "search"       # of any team; left out for each class of the team
  team     = "vision"       # or "*" for any; one of the two is needed
  replicas = 4              # so many at least
  share    = 0.2            # and so much of the learned peak of its replicas
  zones    = ["a"]          # spread evenly over these; left out for all
  warm     = 0.5            # share of it where the image already is
}

exchange "serving" {        # room that services may take from arrays and gangs, and give back
  takers     = ["search"]   # classes; empty or left out for all services
  givers     = ["resize"]   # classes; empty or left out for all arrays and gangs
  teams      = ["vision"]   # whose work gives; empty or left out for all
  most       = 64           # tasks taken at once and not given back
  margin     = 0.1          # need has to be so much below what is held before room is given back
  dwell_s    = 10           # and for so long
  patience_s = 60           # how long room is held for a taker that does not start
}
