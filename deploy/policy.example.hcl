# The operators' own settings with their defaults. Hand the file over with --policy FILE.
# docs/operations.md says what each field does.

score {
  alpha           = 0.3
  deadline_weight = 0.3
  remaining_weight = 0.3
  wait_weight     = 0.35
  guarantee_bonus = 150
  floor_s         = 5
}

hosts {
  mark                 = 1.0
  image_weight         = 1.0
  reserve_after_rounds = 2
}

rounds {
  period_s = 2
}

admission {
  open_jobs = 10000
}

capacity {
  headroom        = 0.15
  spare_machines  = 2
  idle_s          = 40
  spot_share      = 0.5
  suspect_after_s = 5
  boot_patience_s = 120
}
