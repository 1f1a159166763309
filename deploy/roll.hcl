# All machines are replaced in steps, one replica or task of a team down at a time by our own doing. With service-roll.toml
# it shows what a roll costs while everything else goes wrong; docs/drains.md has the figures.

drain "roll" {
  version    = 1
  step       = 40
  surge      = 40
  pause_s    = 2
  patience_s = 60
}

budget "*" {
  down = 1
}
