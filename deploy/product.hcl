# Dawns, headroom and exchanges for any deployment, without the names of its classes and teams; service-product.toml runs
# with it. Measured in docs/results.md.

product {
  version = 1
}

dawn "quarter" {
  every_s  = 900
  margin_s = 30
}

headroom "serving" {
  team     = "*"
  replicas = 1
  share    = 0.1
  warm     = 0.5
}

exchange "serving" {
  most = 64
}
